import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for an upstream without keys. It runs each request that names it, and answers it with its signature. */
class Upstream {
    private static final int WORK_MS = 60;
    private static final int HEARTBEAT_MS = 870;

    final String id;
    private final String service;
    private final Record record;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private int seq;

    Upstream(String id, String service, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    /** Writes the upstream's entry to the store, again at each heartbeat. */
    void register(Store store) {
        Threads.start(() -> {
            while (true) {
                store.put("keyed.servers", id, entry());
                Threads.sleep(HEARTBEAT_MS);
            }
        });
    }

    private String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\"z1\","
            + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold_remaining\":\"0ms\",\"seq\":" + (++seq) + ",\"born\":" + born + "}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Threads.start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The upstream has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) return;
                socket.getOutputStream().write(answer(request));
            }
        } catch (IOException closed) {
            // Routers close their connections as they like.
        }
    }

    private byte[] answer(Http.Message request) {
        String attempt = request.header("Yuccaflow-Attempt-Id");
        String echo = attempt == null ? null : "Yuccaflow-Attempt-Id: " + attempt;
        String own = "Yuccaflow-Instance-Id: " + id;
        String expected = request.header("Yuccaflow-Expected-Instance");
        if (expected != null && !expected.equals(id)) return Http.message("HTTP/1.1 421 Misdirected Request", "", echo, own);
        if (attempt == null) return Http.message("HTTP/1.1 400 Bad Request", "", "Yuccaflow-Not-Executed: 1");
        record.line(id + " runs " + attempt);
        Threads.sleep(WORK_MS);
        record.line(id + " answers " + attempt + " with 200");
        return Http.message("HTTP/1.1 200 OK", body(attempt), echo, own, "Yuccaflow-Response-Signature: s-" + attempt);
    }

    /** The body of the answer to the request {@code attempt}. */
    protected byte[] body(String attempt) {
        return ("answer to " + attempt).getBytes();
    }
}
