import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

/**
 * Upstreams of a service that is divided by key crash, one at a time, and start again at once under their ids and addresses. Checked is
 * that each life of an upstream is granted keys with a generation above all with which other upstreams, or other lives, had them.
 */
final class NextLifeCase {
    private static final int UPSTREAMS = 7;
    private static final int CRASHES = 18;
    private static final int BETWEEN_CRASHES_MS = 4_000;
    private static final int DOWN_MS = 300;
    private static final int WAIT_MS = 1_000;
    private static final int KEYS = 65_536;
    private static final long REQUEST_INTERVAL_NANOS = 40_000_000;

    /** Keys that a life has been granted. */
    private static final class Granted {
        final KeyedUpstream life;
        final int from;
        final int to;
        final long fence;

        Granted(KeyedUpstream life, int from, int to, long fence) {
            this.life = life;
            this.from = from;
            this.to = to;
            this.fence = fence;
        }
    }

    private static final class Audit implements KeyedUpstream.Listener {
        private final Case self;
        private final List<Granted> grants = new ArrayList<>();
        private final Set<String> broken = new HashSet<>();
        int ranUnderOldFence;

        Audit(Case self) {
            this.self = self;
        }

        @Override
        public synchronized void granted(KeyedUpstream life, int from, int to, long fence) {
            for (Granted other : grants) {
                if (other.life == life || other.to < from || to < other.from || other.fence < fence) continue;
                if (broken.add(System.identityHashCode(life) + "/" + fence)) {
                    self.write("BROKEN: " + life.id + " has taken the keys " + from + ".." + to + " with generation " + fence
                        + ", with which another life of " + other.life.id + " had them before it ended");
                }
            }
            boolean isKnown = grants.stream().anyMatch(g -> g.life == life && g.from == from && g.to == to && g.fence == fence);
            if (!isKnown) {
                grants.add(new Granted(life, from, to, fence));
                self.write("granted: " + from + ".." + to + " to " + life.id + ", generation " + fence);
            }
        }

        @Override
        public synchronized void ran(KeyedUpstream life, int key, long fence) {
            if (broken.contains(System.identityHashCode(life) + "/" + fence)) ranUnderOldFence++;
        }

        synchronized int broken() {
            return broken.size();
        }
    }

    public static void main(String[] arguments) {
        Case.main(arguments[0], NextLifeCase::run);
    }

    private static boolean run(Case self) throws Exception {
        Audit audit = new Audit(self);
        try (Deployment system = new Deployment(self)) {
            system.keyedRoute("katalog", "idempotent", "1s");
            system.publish();
            Server[] servers = new Server[UPSTREAMS];
            for (int i = 0; i < UPSTREAMS; i++) servers[i] = start(system, i, 0, audit);
            system.start(3);
            self.write("the routers are ready");
            Server.daemon(() -> traffic(self, system));
            Thread.sleep(10_000);
            for (int crash = 0; crash < CRASHES; crash++) {
                if (self.hasTrouble) {
                    int i = crash % UPSTREAMS;
                    int port = servers[i].port();
                    servers[i].crash();
                    Thread.sleep(DOWN_MS);
                    servers[i] = start(system, i, port, audit);
                    self.write("i-k" + i + " has crashed and started again at its address, and has written its entry with its new birth");
                }
                Thread.sleep(BETWEEN_CRASHES_MS - DOWN_MS);
            }
        }
        self.write("lives that took keys with a generation of another life: " + audit.broken() + ", requests that they ran with it: "
            + audit.ranUnderOldFence);
        return audit.broken() == 0;
    }

    private static Server start(Deployment system, int number, int port, Audit audit) throws Exception {
        KeyedUpstream upstream = new KeyedUpstream("i-k" + number, 10, audit);
        Server server = new Server(Router.loopback(0), port, upstream);
        system.store.put("keyed.servers", upstream.id, Deployment.entry("katalog", server.address()));
        return server;
    }

    private static void traffic(Case self, Deployment system) {
        for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
            Router router = system.routers.get(i % system.routers.size());
            String header = "Yuccaflow-Shard-Key: " + (i * 4_099L % KEYS);
            String attempt = Client.newAttempt();
            byte[] request = Client.request("GET", "/katalog/x", attempt, WAIT_MS, new byte[0], header);
            Client.sendRecorded(self, router, request, attempt, WAIT_MS);
            LockSupport.parkNanos(REQUEST_INTERVAL_NANOS);
        }
    }
}
