import java.util.ArrayList;
import java.util.List;

/** The generations with which the lives of all upstreams of a service have had keys, and the grants that break OWNER. */
final class KeyLog {
    private record Taken(KeyedUpstream life, int from, int to, long generation) {}

    private final List<Taken> taken = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Record record;

    KeyLog(Record record) {
        this.record = record;
    }

    /** Records that {@code life} takes keys, and returns whether its generation is above all with which other lives had them. */
    synchronized boolean take(KeyedUpstream life, int from, int to, long generation) {
        boolean isHigher = true;
        for (Taken earlier : taken) {
            if (earlier.life == life || earlier.to < from || to < earlier.from || earlier.generation < generation) continue;
            isHigher = false;
            violations.add(life.name() + " takes keys " + from + " to " + to + " with generation " + generation + "; " + earlier.life.name()
                + " had keys of it with " + earlier.generation);
            record.line("OWNER " + violations.get(violations.size() - 1));
            break;
        }
        taken.add(new Taken(life, from, to, generation));
        return isHigher;
    }

    synchronized List<String> violations() {
        return new ArrayList<>(violations);
    }
}
