import java.util.concurrent.TimeUnit;

/**
 * A client has one request under way on a kept connection when the router gets SIGTERM, and sends the next one behind it 3.2 s later. Both
 * are long, as the site's slowest requests are. Looks at whether the second one, if the router passes it on, gets its answer.
 */
final class LatePipelined {
  private static final String CONFIG = "{\"version\":\"r1\",\"routes\":{"
      + "\"stop\":{\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout\":\"8041ms\",\"target_latency\":\"1206ms\","
      + "\"priority\":2,\"service\":\"stops\",\"attempts\":2}},"
      + "\"services\":{\"stops\":{\"health_check_path\":\"/health\",\"connection_limit\":120,\"cold_start\":\"3s\",\"cold_per_s\":21.0}},"
      + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
  private static final long DEADLINE_MS = 8_041;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster(args[0]);
    cluster.store.put("keyed.op", "config", CONFIG);
    for (int i = 0; i < 3; i++) cluster.addTarget("i-stops" + i, "stops", "a", false);
    for (int i = 0; i < 3; i++) cluster.addRouter("edge-a-" + i, "a");
    cluster.startRouters();
    Cluster.Router router = cluster.routers.get(0);
    Thread.sleep(2_000);

    int lost = 0;
    try (Caller caller = new Caller(router.front)) {
      caller.send("GET", "a.example", "/r/4000/x", "first", DEADLINE_MS, null, null);
      cluster.record("first request sent, takes 4,000 ms");
      Thread.sleep(300);
      if (Cluster.TROUBLE) router.signal("TERM");
      long termNanos = System.nanoTime();
      Thread.sleep(3_200);
      caller.send("GET", "a.example", "/r/2700/x", "second", DEADLINE_MS, null, null);
      cluster.record("second request sent behind it, takes 2,700 ms");
      for (String attempt : new String[] {"first", "second"}) {
        Http.Message answer = caller.receive(9_000);
        boolean passedOn = cluster.runsOf(attempt) > 0;
        cluster.record(attempt + ": " + (answer == null ? "connection closed" : "status " + answer.status() + ", " + answer.text())
            + "; " + (System.nanoTime() - termNanos) / 1_000_000 + " ms after SIGTERM; passed on: " + passedOn);
        if (answer == null && passedOn) lost++;
        if (answer == null) break;
      }
    }
    if (Cluster.TROUBLE) cluster.record("process ended: " + router.process.waitFor(5, TimeUnit.SECONDS));
    cluster.finish(lost > 0 ? 1 : 0, lost > 0 ? "LOST is broken: a request was passed on and its connection closed without an answer" : "held");
  }
}
