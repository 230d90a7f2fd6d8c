import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for one life of an upstream. Without keys, it runs each request that names it, and answers it with its signature. */
class Upstream {
    private static final int WORK_MS = 60;
    static final int HEARTBEAT_MS = 1_500;

    final String id;
    private final String service;
    protected final Record record;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private volatile boolean up = true;
    private int seq;

    /** Whether the upstream reaches the store. */
    volatile boolean reachesStore = true;

    Upstream(String id, String service, Record record) throws IOException {
        this(id, service, 0, record);
    }

    /** @param port the port to listen on, or 0 for any. */
    Upstream(String id, String service, int port, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        Threads.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    boolean isUp() {
        return up;
    }

    /** Ends this life at once. */
    void crash() throws IOException {
        up = false;
        server.close();
        open.forEach(Threads::reset);
    }

    /** Writes the upstream's entry to the store, again at each heartbeat until it ends. */
    void register(Store store) {
        Threads.start(() -> {
            while (up) {
                if (reachesStore) store.put("keyed.servers", id, entry());
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
                open.add(socket);
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
                byte[] answer = answer(request);
                if (!up) return;
                socket.getOutputStream().write(answer);
            }
        } catch (IOException closed) {
            // Routers close their connections as they like.
        } finally {
            open.remove(socket);
        }
    }

    private byte[] answer(Http.Message request) {
        String attempt = request.header("Yuccaflow-Attempt-Id");
        String echo = attempt == null ? null : "Yuccaflow-Attempt-Id: " + attempt;
        String own = "Yuccaflow-Instance-Id: " + id;
        String expected = request.header("Yuccaflow-Expected-Instance");
        if (expected != null && !expected.equals(id)) return Http.message("HTTP/1.1 421 Misdirected Request", "", echo, own);
        byte[] order = answerOrder(request);
        if (order != null) return order;
        if (attempt == null) return Http.message("HTTP/1.1 400 Bad Request", "", "Yuccaflow-Not-Executed: 1");
        if (!mayRun(request)) {
            return Http.message("HTTP/1.1 421 Misdirected Request", "", echo, own, "Yuccaflow-Not-Executed: 1");
        }
        record.line(id + " runs " + attempt);
        Threads.sleep(WORK_MS);
        record.line(id + " answers " + attempt + " with 200");
        return Http.message("HTTP/1.1 200 OK", body(attempt), echo, own, "Yuccaflow-Response-Signature: s-" + attempt);
    }

    /** Returns the answer to an order for keys, or null if the request is none. */
    protected byte[] answerOrder(Http.Message request) {
        return null;
    }

    /** Whether the upstream runs a request of a client. */
    protected boolean mayRun(Http.Message request) {
        return true;
    }

    /** The body of the answer to the request {@code attempt}. */
    protected byte[] body(String attempt) {
        return ("answer to " + attempt).getBytes();
    }
}
