import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store, upstreams and routers on loopback addresses. */
final class Deployment implements AutoCloseable {
    final Store store;
    final List<Router> routers = new ArrayList<>();
    private final Case self;
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private int version;

    Deployment(Case self) throws IOException {
        this.self = self;
        this.store = new Store(Router.loopback(0));
    }

    /** Adds a route with the prefix /NAME/ to the service NAME, which the next [publish] contains. */
    void route(String name, String kind, String timeout) {
        route(name, kind, timeout, "");
    }

    /** Like the other one, for a service that is divided by key. */
    void keyedRoute(String name, String kind, String timeout) {
        route(name, kind, timeout, ",\"sharding\":true,\"warm\":\"5s\",\"grants\":\"call\"");
    }

    private void route(String name, String kind, String timeout, String sharding) {
        routes.add("\"r-" + name + "\":{\"host\":\"shop.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"timeout\":\""
            + timeout + "\",\"target_latency\":\"250ms\",\"priority\":1,\"service\":\"" + name + "\",\"attempts\":2}");
        services.add("\"" + name + "\":{\"health_check_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start\":\"3s\",\"cold_per_s\":21.0" + sharding + "}");
    }

    /** Writes the desired state. */
    void publish() {
        version += 2;
        store.put("keyed.op", "config", "{\"version\":\"r" + version + "\",\"routes\":{" + String.join(",", routes) + "},\"services\":{"
            + String.join(",", services) + "},\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            + "\"idle_timeout\":\"15000ms\"}}");
    }

    /** Starts an upstream that works for [workMs] and then answers. */
    Server plainUpstream(String service, String id, long workMs) throws IOException {
        return upstream(service, id, (request, connection) -> {
            Thread.sleep(workMs);
            String attempt = request.header("Yuccaflow-Attempt-Id");
            self.record(attempt + " has run at " + id);
            connection.answer(200, attempt.getBytes(), "Yuccaflow-Attempt-Id", attempt, "Yuccaflow-Response-Signature", "s-" + attempt);
        });
    }

    /** Starts an upstream of [service] and registers it. */
    Server upstream(String service, String id, Server.Handler handler) throws IOException {
        Server server = new Server(Router.loopback(0), handler);
        store.put("keyed.servers", id, entry(service, server.address()));
        return server;
    }

    static String entry(String service, String address) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
            + "\"state\":\"ready\",\"cold_remaining\":\"0ms\",\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
    }

    /** Starts [count] routers and waits until they are ready. */
    void start(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) routers.add(new Router(i, store.server.address(), self.directory));
        for (Router router : routers) {
            if (!router.awaitReady(30_000)) throw new IOException(router.node + " is not ready");
        }
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
    }
}
