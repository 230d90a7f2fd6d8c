import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that send one read after the other on kept connections, and the check of what became of the reads. */
final class Readers {
  /** How much later than the route's timeout an answer may come. */
  private static final int LATER_MS = 500;
  private static final int PAUSE_MS = 20;

  private final int port;
  private final int clients;
  private final int routeTimeoutMs;
  private final AtomicBoolean running = new AtomicBoolean(true);
  private final Map<String, String> outcomes = new ConcurrentHashMap<>();
  private final List<Thread> threads = new ArrayList<>();

  Readers(int port, int clients, int routeTimeoutMs) {
    this.port = port;
    this.clients = clients;
    this.routeTimeoutMs = routeTimeoutMs;
  }

  void start() {
    for (int i = 0; i < clients; i++) {
      String name = "c" + i;
      threads.add(Http.daemon(() -> readAll(name)));
    }
  }

  void stop() throws Exception {
    running.set(false);
    for (Thread thread : threads) thread.join(2L * routeTimeoutMs);
  }

  /**
   * Records the reads that were not served, and exits with 1 if more than half of those that were unanswered at the route's timeout had no
   * answer half a second later.
   */
  void finish(Cluster cluster, Cluster.Router router) throws Exception {
    int unanswered = 0;
    int unansweredLater = 0;
    int served = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      if (outcome.getValue().startsWith("200")) served++;
      else cluster.record(outcome.getKey() + ": " + outcome.getValue() + ", runs at upstreams: " + cluster.runsOf(outcome.getKey()));
      if (outcome.getValue().startsWith("late") || outcome.getValue().startsWith("none")) unanswered++;
      if (outcome.getValue().startsWith("none")) unansweredLater++;
    }
    long memoryErrors = router.log().lines().filter(line -> line.contains("OutOfMemoryError")).count();
    cluster.record("reads: " + outcomes.size() + ", served: " + served + ", OutOfMemoryErrors in the router's log: " + memoryErrors);
    cluster.record("reads unanswered at the route's timeout: " + unanswered + ", of them half a second later: " + unansweredLater);
    boolean broken = unansweredLater * 2 > unanswered;
    cluster.finish(broken ? 1 : 0, broken ? "CONFIG is broken: " + unansweredLater + " of " + unanswered + " reads were never answered" : "held");
  }

  /** Records how many reads only ran at sound upstreams and ended with a closed connection. */
  void countClosed(Cluster cluster, List<Target> sound, List<Target> faulty) {
    long closed = outcomes.entrySet().stream()
        .filter(outcome -> outcome.getValue().equals("closed"))
        .filter(outcome -> sound.stream().anyMatch(target -> target.runs.containsKey(outcome.getKey())))
        .filter(outcome -> faulty.stream().noneMatch(target -> target.runs.containsKey(outcome.getKey())))
        .count();
    cluster.record("reads that ran at sound upstreams only and ended with a closed connection: " + closed);
  }

  private void readAll(String name) throws Exception {
    Caller caller = null;
    for (int i = 0; running.get(); i++) {
      String attempt = name + "-" + i;
      try {
        if (caller == null) caller = new Caller(port);
        long sentNanos = System.nanoTime();
        caller.send("GET", "a.example", "/r/150/x", attempt, 2L * routeTimeoutMs, null, null);
        Http.Message answer = caller.receive(routeTimeoutMs + LATER_MS);
        long elapsedMs = (System.nanoTime() - sentNanos) / 1_000_000;
        String outcome = answer == null ? "closed" : Integer.toString(answer.status());
        outcomes.put(attempt, elapsedMs > routeTimeoutMs ? "late " + outcome : outcome);
        if (answer == null || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
          caller.close();
          caller = null;
        }
      } catch (SocketTimeoutException late) {
        outcomes.put(attempt, "none within " + (routeTimeoutMs + LATER_MS) + " ms");
        caller.close();
        caller = null;
      } catch (java.io.IOException failed) {
        outcomes.put(attempt, "connection failed: " + failed.getMessage());
        caller = null;
        Thread.sleep(100);
      }
      Thread.sleep(PAUSE_MS);
    }
    if (caller != null) caller.close();
  }
}
