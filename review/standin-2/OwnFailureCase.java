import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight upstreams fails half of the requests that it has run, with a 503 of its own that does not state that they have not run. Checked
 * is that no request that is not idempotent is answered 429 or 503 (or 408, 421) and has run.
 */
final class OwnFailureCase {
    private static final int REQUESTS = 6_000;
    private static final int UPSTREAMS = 8;
    private static final int FAILED_ONE_IN = 2;
    private static final int INTERVAL_MS = 3;
    private static final int WAIT_MS = 1_000;

    private static final int WORK_MS = 78;
    private static final AtomicInteger GREY_REQUESTS = new AtomicInteger();

    /** The attempts that an upstream began to work on. */
    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Case.main(arguments[0], OwnFailureCase::run);
    }

    private static boolean run(Case self) throws Exception {
        try (Deployment system = new Deployment(self)) {
            system.route("prest", "non_idempotent", "1s");
            system.publish();
            for (int i = 0; i < UPSTREAMS; i++) {
                boolean isGrey = self.hasTrouble && i == 0;
                system.upstream("prest", "i-p" + i, (request, connection) -> book(self, isGrey, request, connection));
            }
            system.start(2);
            self.write("the routers are ready");
            return traffic(self, system);
        }
    }

    /** Books. An upstream that [isGrey] fails half of the bookings after they were made, because it cannot read them back. */
    private static void book(Case self, boolean isGrey, Http.Message request, Server.Connection connection) throws Exception {
        String attempt = request.header("Yuccaflow-Attempt-Id");
        RAN.add(attempt);
        self.record(attempt + " has run");
        Thread.sleep(WORK_MS);
        boolean fails = isGrey && GREY_REQUESTS.incrementAndGet() % FAILED_ONE_IN == 0;
        if (fails) self.write(attempt + " has run; its upstream answers 503 without Yuccaflow-Not-Executed");
        connection.answer(fails ? 503 : 200, attempt.getBytes(), "Yuccaflow-Attempt-Id", attempt,
            "Yuccaflow-Response-Signature", "s-" + attempt);
    }

    private static boolean traffic(Case self, Deployment system) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<String> attempts = new ArrayList<>();
        List<Future<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String attempt = Client.newAttempt();
            byte[] request = Client.request("POST", "/prest/x", attempt, WAIT_MS, "loan".getBytes());
            Router router = system.routers.get(i % system.routers.size());
            attempts.add(attempt);
            answers.add(clients.submit(() -> Client.sendRecorded(self, router, request, attempt, WAIT_MS)));
            Thread.sleep(INTERVAL_MS);
        }
        Map<Integer, Integer> counts = new TreeMap<>();
        int refusedThoughRun = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int status = answers.get(i).get();
            counts.merge(status, 1, Integer::sum);
            boolean promisesNotRun = status == 429 || status == 503 || status == 408 || status == 421;
            if (!promisesNotRun || !RAN.contains(attempts.get(i))) continue;
            refusedThoughRun++;
            self.write("BROKEN: " + attempts.get(i) + " was answered " + status + " and has run");
        }
        self.write("answers by status: " + counts + "; answered that they have not run, though they have: " + refusedThoughRun);
        return refusedThoughRun == 0;
    }
}
