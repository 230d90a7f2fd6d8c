/**
 * 250 clients read from a service of ten upstreams through one router. Up to six times, for five seconds, six of the upstreams are faulty:
 * in one of twenty answers they send bytes without end behind the head. Looks at what becomes of the reads then and afterwards.
 */
final class EndlessAnswers {
  private static final int ROUTE_TIMEOUT_MS = 3_000;
  /** The site has 380 clients, and the loss of any number of its machines has to be borne. */
  private static final int CLIENTS = 250;
  private static final int UPSTREAMS = 10;
  private static final int FAULTY = 6;
  private static final double ENDLESS_SHARE = 0.05;
  private static final int ROUNDS = 6;
  private static final int FAULTY_MS = 5_000;
  private static final int BETWEEN_MS = 3_000;
  private static final String CONFIG = "{\"version\":\"r1\",\"routes\":{"
      + "\"read\":{\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout\":\"3000ms\",\"target_latency\":\"400ms\","
      + "\"priority\":2,\"service\":\"roll\",\"attempts\":2}},"
      + "\"services\":{\"roll\":{\"health_check_path\":\"/health\",\"connection_limit\":110,\"cold_start\":\"3s\",\"cold_per_s\":21.0}},"
      + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster(args[0]);
    cluster.store.put("keyed.op", "config", CONFIG);
    for (int i = 0; i < UPSTREAMS; i++) cluster.addTarget("i-roll" + i, "roll", "a", false);
    cluster.addRouter("edge-a-1", "a");
    cluster.startRouters();
    Cluster.Router router = cluster.routers.get(0);
    Thread.sleep(2_000);

    Readers readers = new Readers(router.front, CLIENTS, ROUTE_TIMEOUT_MS);
    readers.start();
    Thread.sleep(3_000);
    for (int round = 1; round <= ROUNDS && router.isReady(); round++) {
      for (Target faulty : cluster.targets.subList(0, FAULTY)) faulty.endlessShare = Cluster.TROUBLE ? ENDLESS_SHARE : 0;
      Thread.sleep(FAULTY_MS);
      int begun = 0;
      for (Target target : cluster.targets) {
        target.endlessShare = 0;
        begun += target.endlessAnswers.get();
      }
      cluster.record("round " + round + " has ended; answers without end so far: " + begun);
      Thread.sleep(BETWEEN_MS);
    }
    Thread.sleep(8_000);
    readers.stop();
    cluster.record("8 s later: readiness " + (router.isReady() ? "200" : "missed") + ", process alive: " + router.process.isAlive());
    readers.countClosed(cluster, cluster.targets.subList(FAULTY, UPSTREAMS), cluster.targets.subList(0, FAULTY));
    readers.finish(cluster, router);
  }
}
