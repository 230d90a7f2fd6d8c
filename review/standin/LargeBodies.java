import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Ninety clients send one booking each, with a body of 1 MB, while thirty others read on kept connections. The desired state allows bodies of
 * 64 MB. Counts the reads that are unanswered at their route's timeout, and those of them that are unanswered half a second later.
 */
final class LargeBodies {
  private static final int UPLOADS = 90;
  private static final int LARGE_BYTES = 1_000_000;
  /** The largest body of the site's own bookings. */
  private static final int USUAL_BYTES = 24_000;
  private static final int ROUTE_TIMEOUT_MS = 3_000;
  private static final int LATER_MS = 500;
  private static final String CONFIG = "{\"version\":\"r1\",\"routes\":{"
      + "\"read\":{\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout\":\"3000ms\",\"target_latency\":\"400ms\","
      + "\"priority\":2,\"service\":\"roll\",\"attempts\":2},"
      + "\"book\":{\"host\":\"a.example\",\"path_prefix\":\"/b/\",\"kind\":\"non_idempotent\",\"timeout\":\"3000ms\",\"target_latency\":\"250ms\","
      + "\"priority\":1,\"service\":\"prest\",\"attempts\":2}},"
      + "\"services\":{\"roll\":{\"health_check_path\":\"/health\",\"connection_limit\":110,\"cold_start\":\"3s\",\"cold_per_s\":21.0},"
      + "\"prest\":{\"health_check_path\":\"/health\",\"connection_limit\":110,\"cold_start\":\"3s\",\"cold_per_s\":21.0}},"
      + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster(args[0]);
    cluster.store.put("keyed.op", "config", CONFIG);
    for (int i = 0; i < 3; i++) cluster.addTarget("i-roll" + i, "roll", "a", false);
    for (int i = 0; i < 3; i++) cluster.addTarget("i-prest" + i, "prest", "a", false);
    cluster.addRouter("edge-a-1", "a");
    cluster.startRouters();
    Cluster.Router router = cluster.routers.get(0);
    Thread.sleep(2_000);

    AtomicBoolean running = new AtomicBoolean(true);
    Map<String, String> outcomes = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int client = i;
      threads.add(Http.daemon(() -> reads(router.front, "c" + client, running, outcomes)));
    }
    Thread.sleep(3_000);
    cluster.record("uploads begin");
    List<Thread> uploads = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      String attempt = "upload" + i;
      uploads.add(Http.daemon(() -> upload(cluster, router.front, attempt, outcomes)));
    }
    for (Thread upload : uploads) upload.join(8_000);
    Thread.sleep(8_000);
    running.set(false);
    for (Thread thread : threads) thread.join(6_000);

    cluster.record("8 s after the uploads: readiness " + (router.isReady() ? "200" : "missed") + ", process alive: " + router.process.isAlive());
    router.signal("TERM");
    boolean ended = router.process.waitFor(8, TimeUnit.SECONDS);
    cluster.record("8 s after SIGTERM (grace 6 s): process " + (ended ? "has ended" : "still runs"));
    int unanswered = 0;
    int unansweredLater = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      if (!outcome.getValue().startsWith("200")) {
        cluster.record(outcome.getKey() + ": " + outcome.getValue() + ", runs at upstreams: " + cluster.runsOf(outcome.getKey()));
      }
      if (outcome.getKey().startsWith("upload")) continue;
      if (outcome.getValue().startsWith("late") || outcome.getValue().startsWith("none")) unanswered++;
      if (outcome.getValue().startsWith("none")) unansweredLater++;
    }
    long memoryErrors = router.log().lines().filter(line -> line.contains("OutOfMemoryError")).count();
    cluster.record("requests: " + outcomes.size() + ", OutOfMemoryErrors in the router's log: " + memoryErrors);
    cluster.record("reads unanswered at the route's timeout: " + unanswered + ", of them half a second later: " + unansweredLater);
    boolean broken = unansweredLater * 2 > unanswered;
    cluster.finish(broken ? 1 : 0, broken ? "CONFIG is broken: " + unansweredLater + " of " + unanswered + " reads were never answered" : "held");
  }

  private static void reads(int port, String name, AtomicBoolean running, Map<String, String> outcomes) throws Exception {
    Caller caller = null;
    for (int i = 0; running.get(); i++) {
      String attempt = name + "-" + i;
      try {
        if (caller == null) caller = new Caller(port);
        long sentNanos = System.nanoTime();
        caller.send("GET", "a.example", "/r/150/x", attempt, 2L * ROUTE_TIMEOUT_MS, null, null);
        Http.Message answer = caller.receive(ROUTE_TIMEOUT_MS + LATER_MS);
        long elapsedMs = (System.nanoTime() - sentNanos) / 1_000_000;
        String outcome = answer == null ? "closed" : Integer.toString(answer.status());
        outcomes.put(attempt, elapsedMs > ROUTE_TIMEOUT_MS ? "late " + outcome : outcome);
        if (answer == null || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
          caller.close();
          caller = null;
        }
      } catch (SocketTimeoutException late) {
        outcomes.put(attempt, "none within " + (ROUTE_TIMEOUT_MS + LATER_MS) + " ms");
        caller.close();
        caller = null;
      } catch (java.io.IOException failed) {
        outcomes.put(attempt, "connection failed: " + failed.getMessage());
        caller = null;
        Thread.sleep(100);
      }
      Thread.sleep(20);
    }
    if (caller != null) caller.close();
  }

  private static void upload(Cluster cluster, int port, String attempt, Map<String, String> outcomes) throws Exception {
    byte[] body = new byte[Cluster.TROUBLE ? LARGE_BYTES : USUAL_BYTES];
    Arrays.fill(body, (byte) 'x');
    try (Caller caller = new Caller(port)) {
      caller.send("POST", "a.example", "/b/80/x", attempt, 2L * ROUTE_TIMEOUT_MS, null, body);
      Http.Message answer = caller.receive(6_000);
      outcomes.put(attempt, answer == null ? "closed" : Integer.toString(answer.status()));
    } catch (java.io.IOException failed) {
      outcomes.put(attempt, "connection failed: " + failed.getMessage());
    }
    cluster.record(attempt + " with " + body.length + " bytes: " + outcomes.get(attempt));
  }
}
