import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A client. Each attempt has an id of its own, and is sent on a new connection. */
final class Client {
    static final int CLOSED = 0;
    private static final AtomicInteger ATTEMPTS = new AtomicInteger();

    private Client() {}

    static String newAttempt() {
        return "attempt-" + ATTEMPTS.incrementAndGet();
    }

    /** Returns the bytes of a request with the body [body]. [headers] are whole lines. */
    static byte[] request(String method, String path, String attempt, long waitMs, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n");
        head.append("Yuccaflow-Attempt-Id: ").append(attempt).append("\r\nYuccaflow-Deadline-Remaining: ").append(waitMs).append("\r\n");
        for (String line : headers) head.append(line).append("\r\n");
        if (!method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
        return Http.join(head.append("\r\n").toString().getBytes(), body);
    }

    /** Sends a request and returns the answer, or null if the connection ends without one. */
    static Http.Message send(InetSocketAddress router, byte[] request, long waitMs) {
        try (Socket socket = new Socket()) {
            socket.connect(router, 1_000);
            socket.setSoTimeout((int) waitMs + 500);
            Http.write(socket.getOutputStream(), request);
            return Http.read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failure) {
            return null;
        }
    }

    /** Sends a request as [send] does, and records it with its answer. Returns the status of the answer, or [CLOSED]. */
    static int sendRecorded(Case self, Router router, byte[] request, String attempt, long waitMs) {
        int status = statusOf(send(router.front(), request, waitMs));
        self.record(attempt + " sent to " + router.node + ", answered " + (status == CLOSED ? "not at all" : status));
        return status;
    }

    static int statusOf(Http.Message answer) {
        return answer == null ? CLOSED : answer.status();
    }
}
