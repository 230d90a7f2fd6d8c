import java.util.concurrent.TimeUnit;

/**
 * Two of seven routers get SIGHUP shortly after their start, because their settings files were changed. Counts how often a router process
 * ends by itself. A process that has ended is started again, as the platform does, and gets the next SIGHUP then.
 */
final class HangupAtStart {
  private static final int ROUNDS = 3;
  private static final long HANGUP_AFTER_MS = 100;
  private static final String CONFIG = "{\"version\":\"r1\",\"routes\":{"
      + "\"read\":{\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout\":\"3000ms\",\"target_latency\":\"400ms\","
      + "\"priority\":2,\"service\":\"roll\",\"attempts\":2}},"
      + "\"services\":{\"roll\":{\"health_check_path\":\"/health\",\"connection_limit\":110,\"cold_start\":\"3s\",\"cold_per_s\":21.0}},"
      + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster(args[0]);
    cluster.store.put("keyed.op", "config", CONFIG);
    cluster.addTarget("i-roll0", "roll", "a", false);
    for (int i = 0; i < 7; i++) cluster.addRouter("edge-a-" + i, "a");
    cluster.startRouters(2);
    int[] ends = new int[2];
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < ends.length; i++) {
        Cluster.Router router = cluster.routers.get(i);
        if (router.process == null || !router.process.isAlive()) router.start();
        Thread.sleep(HANGUP_AFTER_MS);
        if (Cluster.TROUBLE) router.signal("HUP");
        if (router.process.waitFor(2, TimeUnit.SECONDS)) {
          ends[i]++;
          cluster.record(router.node + " ended by itself, status " + router.process.exitValue());
        }
      }
    }
    boolean broken = ends[0] >= ROUNDS && ends[1] >= ROUNDS;
    cluster.finish(broken ? 1 : 0, broken ? "Fault: two of seven routers ended by themselves three times" : "held: " + ends[0] + " and " + ends[1] + " ends");
  }
}
