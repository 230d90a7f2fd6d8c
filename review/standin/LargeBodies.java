import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

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
  private static final Map<String, String> uploadOutcomes = new ConcurrentHashMap<>();
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

    Readers readers = new Readers(router.front, 30, ROUTE_TIMEOUT_MS);
    readers.start();
    Thread.sleep(3_000);
    cluster.record("uploads begin");
    List<Thread> uploads = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      String attempt = "upload" + i;
      uploads.add(Http.daemon(() -> upload(cluster, router.front, attempt)));
    }
    for (Thread upload : uploads) upload.join(8_000);
    Thread.sleep(8_000);
    readers.stop();

    cluster.record("8 s after the uploads: readiness " + (router.isReady() ? "200" : "missed") + ", process alive: " + router.process.isAlive());
    router.signal("TERM");
    boolean ended = router.process.waitFor(8, TimeUnit.SECONDS);
    cluster.record("8 s after SIGTERM (grace 6 s): process " + (ended ? "has ended" : "still runs"));
    uploadOutcomes.forEach((attempt, outcome) -> cluster.record(attempt + ": " + outcome + ", runs at upstreams: " + cluster.runsOf(attempt)));
    readers.finish(cluster, router);
  }

  private static void upload(Cluster cluster, int port, String attempt) throws Exception {
    byte[] body = new byte[Cluster.TROUBLE ? LARGE_BYTES : USUAL_BYTES];
    Arrays.fill(body, (byte) 'x');
    try (Caller caller = new Caller(port)) {
      caller.send("POST", "a.example", "/b/80/x", attempt, 2L * ROUTE_TIMEOUT_MS, null, body);
      Http.Message answer = caller.receive(6_000);
      uploadOutcomes.put(attempt, answer == null ? "closed" : Integer.toString(answer.status()));
    } catch (java.io.IOException failed) {
      uploadOutcomes.put(attempt, "connection failed: " + failed.getMessage());
    }
    cluster.record(attempt + " with " + body.length + " bytes: " + uploadOutcomes.get(attempt));
  }
}
