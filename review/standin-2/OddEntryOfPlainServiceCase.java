import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Another writer leaves one odd entry among those of the upstreams, of a service that is not divided by key: its address is a link-local one
 * with an interface name. Checked is that refused and failed requests are at most 60% of all.
 */
final class OddEntryOfPlainServiceCase {
    private static final String ODD_ADDRESS = "[fe80::2%eth7]:8080";
    private static final int REQUESTS = 800;
    private static final int INTERVAL_MS = 20;
    private static final int WORK_MS = 78;
    private static final int WAIT_MS = 600;
    private static final double MOST_UNSERVED = 0.6;

    public static void main(String[] arguments) {
        Case.main(arguments[0], OddEntryOfPlainServiceCase::run);
    }

    private static boolean run(Case self) throws Exception {
        try (Deployment system = new Deployment(self)) {
            system.route("prest", "non_idempotent", "600ms");
            system.publish();
            for (int i = 0; i < 6; i++) system.plainUpstream("prest", "i-p" + i, WORK_MS);
            system.start(3);
            self.write("the routers are ready");
            Thread.sleep(2_000);
            if (self.hasTrouble) {
                system.store.put("keyed.servers", "i-odd", Deployment.entry("prest", ODD_ADDRESS));
                self.write("another writer has left the entry servers/i-odd: " + Deployment.entry("prest", ODD_ADDRESS));
            }
            return traffic(self, system);
        }
    }

    private static boolean traffic(Case self, Deployment system) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Http.Message>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Router router = system.routers.get(i % system.routers.size());
            String attempt = Client.newAttempt();
            byte[] request = Client.request("POST", "/prest/x", attempt, WAIT_MS, "loan".getBytes());
            answers.add(clients.submit(() -> {
                Http.Message answer = Client.send(router.front(), request, WAIT_MS);
                self.record(attempt + " sent to " + router.node + ", answered " + (answer == null ? "not at all" : answer.status()));
                return answer;
            }));
            Thread.sleep(INTERVAL_MS);
        }
        Map<String, Integer> counts = new TreeMap<>();
        int served = 0;
        for (Future<Http.Message> answer : answers) {
            Http.Message message = answer.get();
            int status = Client.statusOf(message);
            if (status == 200) served++;
            boolean isOwn = message == null || message.header("Yuccaflow-Response-Signature") == null;
            counts.merge(status + (isOwn ? " of the router" : " of an upstream"), 1, Integer::sum);
        }
        double unserved = 1 - (double) served / REQUESTS;
        self.write(String.format("requests: %d, answers by status: %s; refused or failed: %.3f", REQUESTS, counts, unserved));
        return unserved <= MOST_UNSERVED;
    }
}
