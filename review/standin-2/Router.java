import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router: the command of the deploy file with settings from its template, as a separate process. */
final class Router implements AutoCloseable {
    /** The port of the metrics stands in the template. The others are taken from here on, where they are free. */
    private static final int FIRST_PORT = 20_000;

    final String node;
    final String host;
    private final Path directory;
    private final Path settings;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private Process process;

    /** The router [number], whose address only this process tree uses. */
    Router(int number, String storeAddress, Path directory) throws IOException {
        this.node = "edge-a-" + number;
        this.host = loopback(number);
        this.frontPort = freePort(FIRST_PORT);
        this.readyPort = freePort(frontPort + 1);
        this.controlPort = freePort(readyPort + 1);
        this.directory = directory;
        this.settings = directory.resolve(node + ".ini");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Files.writeString(settings, settingsText(storeAddress));
        start();
    }

    /** Returns a loopback address for part [number] of this test. */
    static String loopback(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (100 + number) + "." + (pid / 250 % 250 + 1) + "." + (pid % 250 + 1);
    }

    private int freePort(int from) {
        for (int port = from; ; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // The next one is tried.
            }
        }
    }

    InetSocketAddress front() {
        return new InetSocketAddress(host, frontPort);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    Path log() {
        return directory.resolve(node + ".log");
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(Arrays.asList(value("deploy/system.toml", "run").split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(new File("."));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("YUCCAFLOW_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile())).start();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Waits until the readiness check answers 200. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endsAt = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < endsAt) {
            try (Socket socket = new Socket(host, readyPort)) {
                socket.setSoTimeout(1_000);
                Http.write(socket.getOutputStream(), "GET /yuccaflow/readiness HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) return true;
            } catch (IOException notYet) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Fills the template of the deploy file with the fields of the platform's settings. */
    private String settingsText(String storeAddress) throws IOException {
        String seeds = host + ":" + controlPort;
        Map<String, String> fields = Map.ofEntries(
            Map.entry("node", node), Map.entry("zone", "a"), Map.entry("ip_address", host),
            Map.entry("limits.cpu_share", "1"), Map.entry("limits.cores", "1"), Map.entry("limits.link_mbps", "1000.0"),
            Map.entry("listen_addresses.front", host + ":" + frontPort),
            Map.entry("listen_addresses.ready", host + ":" + readyPort),
            Map.entry("listen_addresses.control", host + ":" + controlPort),
            Map.entry("bounds.grace", "6s"), Map.entry("bounds.budget_ratio", "0.2"),
            Map.entry("bounds.budget_extra_attempts", "58"), Map.entry("bounds.budget_window", "10s"),
            Map.entry("bounds.cold_factor", "1.5"), Map.entry("bounds.cold_slack", "5"),
            Map.entry("platform.address", storeAddress));
        String template = Files.readString(Path.of("deploy/settings.ini"));
        template = template.replaceAll("\\{\\{#seed_addresses}}.*?\\{\\{/seed_addresses}}", seeds);
        template = template.replaceAll("\\{\\{[#/]limits\\.link_mbps}}", "");
        Matcher places = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(template);
        return places.replaceAll(place -> Matcher.quoteReplacement(fields.get(place.group(1))));
    }

    private static String value(String file, String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(Files.readString(Path.of(file)));
        if (!matcher.find()) throw new IOException("no " + key + " in " + file);
        return matcher.group(1);
    }
}
