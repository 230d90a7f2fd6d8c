import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * All routers are killed and start again. Clients connect as soon as the routers listen, and keep their connections. When the routers are
 * ready, the clients send bodies that are within the limits of the desired state. Checked is the rule DENIED.
 */
final class EarlyConnectionCase {
    private static final int CLIENTS_PER_ROUTER = 8;
    private static final int UPLOADS_PER_CLIENT = 4;
    private static final int UPLOAD_BYTES = 1_500_000;
    private static final int CONNECT_INTERVAL_MS = 2;
    private static final int SETTLE_MS = 3_000;
    private static final int WAIT_MS = 4_000;

    public static void main(String[] arguments) {
        Case.main(arguments[0], EarlyConnectionCase::run);
    }

    private static boolean run(Case self) throws Exception {
        try (Deployment system = new Deployment(self)) {
            system.route("prest", "non_idempotent", "3s");
            system.publish();
            for (int i = 0; i < 4; i++) system.plainUpstream("prest", "i-p" + i, 20);
            system.start(2);
            self.write("the routers are ready; the desired state allows bodies of 67108864 bytes");
            if (self.hasTrouble) {
                for (Router router : system.routers) router.close();
                self.write("all routers are killed, and start again");
                for (Router router : system.routers) router.start();
            }
            List<Socket> connections = connect(system);
            self.write(connections.size() + " clients have connected");
            for (Router router : system.routers) {
                if (!router.awaitReady(30_000)) throw new IOException(router.node + " is not ready");
            }
            self.write("the routers are ready");
            Thread.sleep(SETTLE_MS);
            return upload(self, connections);
        }
    }

    /** Connects the clients as soon as the routers listen. No router is in rotation then, so that the platform uses all of them. */
    private static List<Socket> connect(Deployment system) throws Exception {
        ExecutorService balancer = Executors.newCachedThreadPool();
        List<Future<List<Socket>>> connecting = new ArrayList<>();
        for (Router router : system.routers) connecting.add(balancer.submit(() -> connect(router)));
        List<Socket> connections = new ArrayList<>();
        for (Future<List<Socket>> connected : connecting) connections.addAll(connected.get());
        return connections;
    }

    private static List<Socket> connect(Router router) throws InterruptedException {
        List<Socket> connections = new ArrayList<>();
        while (connections.size() < CLIENTS_PER_ROUTER) {
            Socket socket = new Socket();
            try {
                socket.connect(router.front(), 1_000);
                connections.add(socket);
            } catch (IOException notYet) {
                Thread.sleep(CONNECT_INTERVAL_MS);
            }
        }
        return connections;
    }

    private static boolean upload(Case self, List<Socket> connections) {
        Map<Integer, Integer> answers = new TreeMap<>();
        int denied = 0;
        int asked = 0;
        for (Socket socket : connections) {
            boolean isOpen = true;
            for (int i = 0; i < UPLOADS_PER_CLIENT && isOpen; i++) {
                asked++;
                int status = upload(socket);
                answers.merge(status, 1, Integer::sum);
                if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) {
                    denied++;
                    self.write("an upload of " + UPLOAD_BYTES + " bytes on an early connection was answered " + status);
                }
                isOpen = status == 200;
            }
        }
        self.write("uploads: " + asked + ", answers by status: " + answers + ", denied: " + denied);
        // "More than 5 + one in 500 of all requests"
        return denied <= 5 + asked / 500;
    }

    private static int upload(Socket socket) {
        try {
            socket.setSoTimeout(WAIT_MS + 500);
            byte[] request = Client.request("POST", "/prest/x", Client.newAttempt(), WAIT_MS, new byte[UPLOAD_BYTES]);
            Http.write(socket.getOutputStream(), request);
            return Client.statusOf(Http.read(new BufferedInputStream(socket.getInputStream())));
        } catch (IOException failure) {
            return Client.CLOSED;
        }
    }
}
