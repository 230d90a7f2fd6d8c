import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Another writer has left one odd entry among those of the upstreams before the system starts: its address is a link-local one with an
 * interface name. It is dropped after a while. The rule Starved is checked over the whole run.
 */
final class OddEntryCase {
    private static final String ODD_ADDRESS = "[fe80::2%eth7]:8080";
    private static final int SECONDS = 60;
    private static final int ODD_ENTRY_SECONDS = 40;
    private static final int PER_SECOND = 10;
    private static final int WAIT_MS = 1_000;
    private static final int KEYS = 65_536;

    public static void main(String[] arguments) {
        Case.main(arguments[0], OddEntryCase::run);
    }

    private static boolean run(Case self) throws Exception {
        try (Deployment system = new Deployment(self)) {
            system.keyedRoute("katalog", "idempotent", "1s");
            system.route("prest", "non_idempotent", "1s");
            system.publish();
            List<KeyedUpstream> owners = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                KeyedUpstream owner = new KeyedUpstream("i-k" + i, 10);
                owners.add(owner);
                system.upstream("katalog", owner.id, owner);
            }
            for (int i = 0; i < 3; i++) system.plainUpstream("prest", "i-p" + i, 10);
            if (self.hasTrouble) {
                system.store.put("keyed.servers", "i-odd", Deployment.entry("katalog", ODD_ADDRESS));
                self.write("another writer has left the entry servers/i-odd: " + Deployment.entry("katalog", ODD_ADDRESS));
            }
            system.start(3);
            self.write("the routers are ready");
            return traffic(self, system, owners);
        }
    }

    private static boolean traffic(Case self, Deployment system, List<KeyedUpstream> owners) throws InterruptedException {
        int keyedServed = 0;
        int plainServed = 0;
        // The first grants take some seconds after the start.
        Thread.sleep(10_000);
        for (int second = 0; second < SECONDS; second++) {
            if (second == ODD_ENTRY_SECONDS && self.hasTrouble) {
                system.store.put("keyed.servers", "i-odd", null);
                self.write("the entry servers/i-odd is dropped");
            }
            Map<String, Integer> answers = new TreeMap<>();
            for (int i = 0; i < PER_SECOND; i++) {
                Router router = system.routers.get(i % system.routers.size());
                int keyed = sendKeyed(self, router, i * KEYS / PER_SECOND + second * 100 % 6_000);
                int plain = sendPlain(self, router);
                answers.merge("katalog " + keyed, 1, Integer::sum);
                answers.merge("prest " + plain, 1, Integer::sum);
                if (keyed == 200) keyedServed++;
                if (plain == 200) plainServed++;
                Thread.sleep(50);
            }
            int held = owners.stream().mapToInt(KeyedUpstream::heldKeys).sum();
            self.write("answers " + answers + ", keys held by the upstreams of katalog: " + held);
        }
        long ended = system.routers.stream().filter(router -> !router.isAlive()).count();
        double asked = SECONDS * PER_SECOND;
        double all = (keyedServed + plainServed) / (2 * asked);
        self.write(String.format("served: katalog %.3f, prest %.3f, all %.3f; routers that ended: %d",
            keyedServed / asked, plainServed / asked, all, ended));
        // "a kind of request ... is served less than a quarter as often as all requests"
        return keyedServed / asked >= all / 4 && plainServed / asked >= all / 4;
    }

    private static int sendKeyed(Case self, Router router, int key) {
        String attempt = Client.newAttempt();
        byte[] request = Client.request("GET", "/katalog/x", attempt, WAIT_MS, new byte[0], "Yuccaflow-Shard-Key: " + key);
        return Client.sendRecorded(self, router, request, attempt, WAIT_MS);
    }

    private static int sendPlain(Case self, Router router) {
        String attempt = Client.newAttempt();
        byte[] request = Client.request("POST", "/prest/x", attempt, WAIT_MS, "loan".getBytes());
        return Client.sendRecorded(self, router, request, attempt, WAIT_MS);
    }
}
