import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file with what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {
    private final PrintWriter out;
    private final long startedNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long ms() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(ms() + " " + text);
    }
}
