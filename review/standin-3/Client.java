import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller. */
final class Client {
    /** An answer, or why there is none; then the status is 0. */
    static final class Answer {
        int status;
        String signature;
        String body = "";
        String failure;

        @Override
        public String toString() {
            return failure != null ? "no answer (" + failure + ")" : status + " " + (signature == null ? "(own) " : "") + body;
        }
    }

    private Client() {}

    static Answer get(int port, String path, int timeoutMs) {
        return send(port, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", timeoutMs);
    }

    /** Sends a request of a client and returns its answer. */
    static Answer request(int port, String method, String host, String path, String id, int key, int timeLimitMs) {
        String text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nYuccaflow-Attempt-Id: " + id + "\r\n"
            + "Yuccaflow-Deadline-Remaining: " + timeLimitMs + "\r\n" + (key < 0 ? "" : "Yuccaflow-Shard-Key: " + key + "\r\n")
            + (method.equals("POST") ? "Content-Length: 0\r\n" : "") + "\r\n";
        return send(port, text, timeLimitMs + 300);
    }

    static Answer send(int port, String text, int timeoutMs) {
        Answer answer = new Answer();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Message message = Http.read(in, true);
            if (message == null) {
                answer.failure = "closed";
                return answer;
            }
            answer.status = message.status();
            answer.signature = message.header("Yuccaflow-Response-Signature");
            answer.body = message.text();
            if (!message.complete) answer.failure = "truncated";
        } catch (IOException | RuntimeException failed) {
            answer.failure = failed.toString();
        }
        return answer;
    }
}
