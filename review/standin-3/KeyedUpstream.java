import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for one life of an upstream of a service that is divided by key. It starts without keys. */
final class KeyedUpstream extends Upstream {
    private record Grant(int from, int to, long generation, boolean isHigher, long untilNanos) {
        boolean overlaps(int otherFrom, int otherTo) {
            return from <= otherTo && otherFrom <= to;
        }
    }

    private final int life;
    private final KeyLog keys;
    private final List<Grant> seen = new ArrayList<>();
    private List<Grant> held = new ArrayList<>();

    /** The number of requests that were run under a generation that another life had. */
    private int oldRuns;

    KeyedUpstream(String id, int life, String service, int port, KeyLog keys, Record record) throws IOException {
        super(id, service, port, record);
        this.life = life;
        this.keys = keys;
    }

    String name() {
        return id + " (life " + life + ")";
    }

    int life() {
        return life;
    }

    synchronized int oldRuns() {
        return oldRuns;
    }

    @Override
    protected byte[] answerOrder(Http.Message request) {
        switch (request.path()) {
            case "/yuccaflow/grant": return grant(request.text());
            case "/yuccaflow/release": return release(request.text());
            default: return null;
        }
    }

    @Override
    protected synchronized boolean mayRun(Http.Message request) {
        String text = request.header("Yuccaflow-Shard-Key");
        int key = text == null ? -1 : Integer.parseInt(text);
        for (Grant grant : held) {
            if (!grant.overlaps(key, key) || grant.untilNanos < System.nanoTime()) continue;
            if (!grant.isHigher) {
                oldRuns++;
                record.line(name() + " runs a request for key " + key + " under the generation " + grant.generation + " of another life");
            }
            return true;
        }
        return false;
    }

    private synchronized byte[] grant(String json) {
        int from = (int) number(json, "from");
        int to = (int) number(json, "to");
        long generation = number(json, "fence");
        long untilNanos = System.nanoTime() + number(json, "hold_time") * 1_000_000;
        if (seen.stream().anyMatch(earlier -> earlier.overlaps(from, to) && earlier.generation > generation)) {
            return Http.message("HTTP/1.1 409 Conflict", "{}");
        }
        Grant renewed = held.stream().filter(grant -> grant.generation == generation && grant.overlaps(from, to)).findFirst().orElse(null);
        boolean isHigher = renewed != null ? renewed.isHigher : keys.take(this, from, to, generation);
        if (renewed == null) record.line(name() + " takes keys " + from + " to " + to + " with generation " + generation);
        drop(from, to);
        Grant grant = new Grant(from, to, generation, isHigher, untilNanos);
        held.add(grant);
        seen.add(grant);
        return Http.message("HTTP/1.1 200 OK", "{}");
    }

    /** Requests take so little time that a release waits for none. */
    private synchronized byte[] release(String json) {
        int from = (int) number(json, "from");
        int to = (int) number(json, "to");
        long generation = number(json, "fence");
        record.line(name() + " releases keys " + from + " to " + to + " for generation " + generation);
        seen.add(new Grant(from, to, generation, true, 0));
        drop(from, to);
        return Http.message("HTTP/1.1 200 OK", "", "Yuccaflow-Handover: h-" + id);
    }

    private void drop(int from, int to) {
        List<Grant> kept = new ArrayList<>();
        for (Grant grant : held) {
            if (!grant.overlaps(from, to)) {
                kept.add(grant);
                continue;
            }
            if (grant.from < from) kept.add(new Grant(grant.from, from - 1, grant.generation, grant.isHigher, grant.untilNanos));
            if (grant.to > to) kept.add(new Grant(to + 1, grant.to, grant.generation, grant.isHigher, grant.untilNanos));
        }
        held = kept;
    }

    private static long number(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"?(\\d+)").matcher(json);
        if (!matcher.find()) throw new IllegalArgumentException("no " + name + " in " + json);
        return Long.parseLong(matcher.group(1));
    }
}
