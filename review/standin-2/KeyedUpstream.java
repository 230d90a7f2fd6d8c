import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An upstream of a service that is divided by key. It runs requests only for keys that it holds. */
final class KeyedUpstream implements Server.Handler {
    private static final class Grant {
        final int from;
        final int to;
        final long fence;
        final long untilMs;

        Grant(int from, int to, long fence, long untilMs) {
            this.from = from;
            this.to = to;
            this.fence = fence;
            this.untilMs = untilMs;
        }

        boolean overlaps(int first, int last) {
            return from <= last && first <= to;
        }
    }

    /** Is told of each grant that an upstream has accepted, and of each request that it runs, with the fence of the key. */
    interface Listener {
        void granted(KeyedUpstream upstream, int from, int to, long fence);

        void ran(KeyedUpstream upstream, int key, long fence);
    }

    final String id;
    private final long workMs;
    private final Listener listener;
    /** Grants in force, and the fences that were seen with the keys of each call. */
    private final List<Grant> held = new ArrayList<>();
    private final List<Grant> seen = new ArrayList<>();

    KeyedUpstream(String id, long workMs) {
        this(id, workMs, null);
    }

    KeyedUpstream(String id, long workMs, Listener listener) {
        this.id = id;
        this.workMs = workMs;
        this.listener = listener;
    }

    @Override
    public void handle(Http.Message request, Server.Connection connection) throws Exception {
        String expected = request.header("Yuccaflow-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            misdirected(request, connection);
            return;
        }
        switch (request.path()) {
            case "/yuccaflow/grant" -> connection.answer(grant(request.text()) ? 200 : 409, "{}".getBytes());
            case "/yuccaflow/release" -> {
                release(request.text());
                connection.answer(200, "{}".getBytes(), "Yuccaflow-Handover", "h-" + id);
            }
            default -> run(request, connection);
        }
    }

    private void run(Http.Message request, Server.Connection connection) throws Exception {
        int key = Integer.parseInt(request.header("Yuccaflow-Shard-Key"));
        Long fence = fenceOf(key);
        if (fence == null) {
            misdirected(request, connection);
            return;
        }
        if (listener != null) listener.ran(this, key, fence);
        Thread.sleep(workMs);
        String attempt = request.header("Yuccaflow-Attempt-Id");
        connection.answer(200, attempt.getBytes(), "Yuccaflow-Attempt-Id", attempt, "Yuccaflow-Response-Signature", "s-" + attempt);
    }

    private void misdirected(Http.Message request, Server.Connection connection) throws IOException {
        String attempt = request.header("Yuccaflow-Attempt-Id");
        connection.answer(421, new byte[0], "Yuccaflow-Not-Executed", "1", "Yuccaflow-Instance-Id", id,
            "Yuccaflow-Attempt-Id", attempt == null ? "" : attempt);
    }

    /** Returns the fence with which the key is held now, or null. */
    private synchronized Long fenceOf(int key) {
        for (Grant grant : held) if (grant.overlaps(key, key) && grant.untilMs > nowMs()) return grant.fence;
        return null;
    }

    /** Returns the number of keys that are held now. */
    synchronized int heldKeys() {
        return held.stream().filter(grant -> grant.untilMs > nowMs()).mapToInt(grant -> grant.to - grant.from + 1).sum();
    }

    private synchronized boolean grant(String call) {
        int from = (int) number(call, "from");
        int to = (int) number(call, "to");
        long fence = number(call, "fence");
        if (seen.stream().anyMatch(other -> other.overlaps(from, to) && other.fence > fence)) return false;
        Grant grant = new Grant(from, to, fence, nowMs() + number(call, "hold_time"));
        see(grant);
        drop(from, to);
        held.add(grant);
        if (listener != null) listener.granted(this, from, to, fence);
        return true;
    }

    private synchronized void release(String call) {
        Grant keys = new Grant((int) number(call, "from"), (int) number(call, "to"), number(call, "fence"), 0);
        see(keys);
        drop(keys.from, keys.to);
    }

    private void see(Grant keys) {
        if (seen.stream().noneMatch(other -> other.from == keys.from && other.to == keys.to && other.fence == keys.fence)) seen.add(keys);
    }

    private void drop(int from, int to) {
        List<Grant> rest = new ArrayList<>();
        for (Grant grant : held) {
            if (!grant.overlaps(from, to)) {
                rest.add(grant);
                continue;
            }
            if (grant.from < from) rest.add(new Grant(grant.from, from - 1, grant.fence, grant.untilMs));
            if (grant.to > to) rest.add(new Grant(to + 1, grant.to, grant.fence, grant.untilMs));
        }
        held.clear();
        held.addAll(rest);
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"?(\\d+)").matcher(json);
        if (!matcher.find()) throw new IllegalArgumentException("no " + field + " in " + json);
        return Long.parseLong(matcher.group(1));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
