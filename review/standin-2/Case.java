import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, and the exit status. */
final class Case implements AutoCloseable {
    /** The steps of a case. Returns whether the rule held. */
    interface Steps {
        boolean run(Case self) throws Exception;
    }

    /** Whether the disruption takes place. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    private Case(String folder) throws IOException {
        directory = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        write("trouble: " + hasTrouble);
    }

    /** Runs [steps] for the case in [folder], and ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
    static void main(String folder, Steps steps) {
        int status = 2;
        try (Case self = new Case(folder)) {
            try {
                status = steps.run(self) ? 0 : 1;
            } catch (Exception | Error failure) {
                self.write("the case could not run: " + failure);
            }
            self.write("exit " + status);
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    /** Writes a line to the record and to the output. */
    void write(String line) {
        System.out.println(record(line));
    }

    /** Writes a line to the record only, such as one for each request. */
    synchronized String record(String line) {
        String timed = String.format("%8d ms  %s", (System.nanoTime() - startedAt) / 1_000_000, line);
        record.println(timed);
        return timed;
    }

    @Override
    public void close() throws IOException {
        record.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
