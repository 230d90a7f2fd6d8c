import java.io.IOException;
import java.net.Socket;

/** Threads and sockets of the stand-ins. */
final class Threads {
    private Threads() {}

    static void start(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    /** Closes a socket so that its peer sees a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It was closed already.
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException ended) {
            throw new IllegalStateException(ended);
        }
    }
}
