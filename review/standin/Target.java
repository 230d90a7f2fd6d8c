import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for an upstream. It runs each request for the time that the path names, such as {@code /p/80/x} for 80 ms. */
final class Target {
  private static final class Grant {
    final int from;
    final int to;
    final long fence;
    final long untilNanos;

    Grant(int from, int to, long fence, long untilNanos) {
      this.from = from;
      this.to = to;
      this.fence = fence;
      this.untilNanos = untilNanos;
    }

    boolean meets(int first, int last) {
      return from <= last && first <= to;
    }
  }

  /** Pause between blocks of 16 KB of an answer without end, which makes about 1 MB a second. */
  private static final long ENDLESS_PAUSE_MS = 15;

  final String id;
  final String service;
  final String zone;
  final long born = System.currentTimeMillis();
  final ServerSocket server;
  /** How often each request has run, by attempt id. */
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  /** Attempt ids whose run has come to its end. */
  final Map<String, Boolean> ended = new ConcurrentHashMap<>();
  private final boolean keyed;
  private List<Grant> held = new ArrayList<>();
  private final List<Grant> seen = new ArrayList<>();
  /** Share of the answers in which the upstream is faulty: it sends bytes without end behind the head, until the caller closes. */
  volatile double endlessShare;
  /** Answers without end that were begun. */
  final AtomicInteger endlessAnswers = new AtomicInteger();
  /** The address in the directory entry; a proxy may stand there. */
  String address;

  Target(String id, String service, String zone, boolean keyed) throws Exception {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.keyed = keyed;
    server = Http.serve("127.0.0.1", this::handle);
    address = "127.0.0.1:" + server.getLocalPort();
  }

  String entry(String state) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,"
        + "\"state\":\"" + state + "\",\"cold_remaining\":\"0ms\",\"seq\":1,\"born\":" + born + "}";
  }

  private Http.Response handle(Http.Message request, Socket connection) throws Exception {
    String expected = request.headers.get("yuccaflow-expected-instance");
    String attempt = request.headers.get("yuccaflow-attempt-id");
    if (expected != null && !expected.equals(id)) return misdirected(attempt);
    if (request.path().equals("/yuccaflow/grant")) return grant(request.text());
    if (request.path().equals("/yuccaflow/release")) return release(request.text());
    if (request.path().equals("/health")) return Http.Response.json(200, "{}").with("Yuccaflow-Instance-Id", id);
    if (attempt == null) return Http.Response.json(400, "{}").with("Yuccaflow-Not-Executed", "1");
    String key = request.headers.get("yuccaflow-shard-key");
    if (keyed && !holds(Integer.parseInt(key))) return misdirected(attempt).with("Yuccaflow-Not-Executed", "1");
    runs.computeIfAbsent(attempt, any -> new AtomicInteger()).incrementAndGet();
    Thread.sleep(Long.parseLong(request.path().split("/")[2]));
    ended.put(attempt, true);
    if (Math.random() < endlessShare) return sendWithoutEnd(attempt, connection);
    byte[] body = ("ran " + attempt + " with " + request.body.length + " bytes").getBytes(StandardCharsets.UTF_8);
    return new Http.Response(200, body)
        .with("Yuccaflow-Attempt-Id", attempt)
        .with("Yuccaflow-Response-Signature", "s." + attempt)
        .with("Yuccaflow-Server-Load", "1,0,6,100");
  }

  private Http.Response sendWithoutEnd(String attempt, Socket connection) throws Exception {
    endlessAnswers.incrementAndGet();
    String head = "HTTP/1.1 200 X\r\nYuccaflow-Attempt-Id: " + attempt + "\r\nYuccaflow-Response-Signature: s." + attempt + "\r\n\r\n";
    connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    byte[] bytes = new byte[16_384];
    while (true) {
      connection.getOutputStream().write(bytes);
      Thread.sleep(ENDLESS_PAUSE_MS);
    }
  }

  private Http.Response misdirected(String attempt) {
    Http.Response response = Http.Response.json(421, "{}").with("Yuccaflow-Instance-Id", id);
    return attempt == null ? response : response.with("Yuccaflow-Attempt-Id", attempt);
  }

  synchronized boolean holds(int key) {
    return held.stream().anyMatch(grant -> grant.meets(key, key) && grant.untilNanos > System.nanoTime());
  }

  /** Returns the keys that are held now, as text. */
  synchronized String holdings() {
    StringBuilder text = new StringBuilder();
    for (Grant grant : held) {
      if (grant.untilNanos > System.nanoTime()) text.append(grant.from).append('-').append(grant.to).append('#').append(grant.fence).append(' ');
    }
    return text.toString();
  }

  private synchronized Http.Response grant(String call) {
    int from = Integer.parseInt(Store.field(call, "from"));
    int to = Integer.parseInt(Store.field(call, "to"));
    long fence = Long.parseLong(Store.field(call, "fence"));
    long holdMs = Long.parseLong(Store.field(call, "hold_time").replace("ms", ""));
    if (seen.stream().anyMatch(other -> other.meets(from, to) && other.fence > fence)) return Http.Response.json(409, "{}");
    drop(from, to);
    Grant grant = new Grant(from, to, fence, System.nanoTime() + holdMs * 1_000_000);
    held.add(grant);
    remember(grant);
    return Http.Response.json(200, "{}");
  }

  private synchronized Http.Response release(String call) {
    int from = Integer.parseInt(Store.field(call, "from"));
    int to = Integer.parseInt(Store.field(call, "to"));
    drop(from, to);
    remember(new Grant(from, to, Long.parseLong(Store.field(call, "fence")), 0));
    return Http.Response.json(200, "{}").with("Yuccaflow-Handover", "h" + id);
  }

  private void remember(Grant grant) {
    seen.removeIf(other -> other.from == grant.from && other.to == grant.to && other.fence <= grant.fence);
    seen.add(grant);
  }

  private void drop(int from, int to) {
    List<Grant> left = new ArrayList<>();
    for (Grant grant : held) {
      if (!grant.meets(from, to)) {
        left.add(grant);
        continue;
      }
      if (grant.from < from) left.add(new Grant(grant.from, from - 1, grant.fence, grant.untilNanos));
      if (grant.to > to) left.add(new Grant(to + 1, grant.to, grant.fence, grant.untilNanos));
    }
    held = left;
  }
}
