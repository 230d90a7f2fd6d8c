import java.io.File;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: stand-ins of store and upstreams in this process, the project's routers as processes. */
final class Cluster implements AutoCloseable {
  static {
    // A case that fails by itself must not look like one that found a fault.
    Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
      failure.printStackTrace();
      System.exit(2);
    });
  }

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** A router process. */
  final class Router {
    final String node;
    final String zone;
    final int front;
    final int ready;
    final int relay;
    final int metrics;
    Process process;

    Router(String node, String zone) throws Exception {
      this.node = node;
      this.zone = zone;
      front = freePort();
      ready = freePort();
      relay = freePort();
      metrics = freePort();
    }

    void start() throws Exception {
      Path settings = folder.resolve(node + ".ini");
      Files.writeString(settings, settingsText());
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("YUCCAFLOW_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
      process = builder.start();
      record("router " + node + " started, pid " + process.pid());
    }

    void signal(String name) throws Exception {
      record("signal " + name + " to " + node);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isReady() {
      try {
        HttpURLConnection call = (HttpURLConnection) new URL("http://127.0.0.1:" + ready + "/yuccaflow/readiness").openConnection();
        call.setConnectTimeout(500);
        call.setReadTimeout(500);
        return call.getResponseCode() == 200;
      } catch (java.io.IOException notYet) {
        return false;
      }
    }

    String log() throws Exception {
      return Files.readString(folder.resolve(node + ".log"));
    }

    private String settingsText() throws Exception {
      StringBuilder seeds = new StringBuilder();
      for (Router router : routers.subList(0, Math.min(3, routers.size()))) {
        seeds.append(seeds.length() == 0 ? "" : ",").append("127.0.0.1:").append(router.relay);
      }
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("{{node}}", node);
      fields.put("{{zone}}", zone);
      fields.put("{{limits.cpu_share}}", "0.6");
      fields.put("{{limits.cores}}", "1");
      fields.put("{{listen_addresses.front}}", "127.0.0.1:" + front);
      fields.put("{{listen_addresses.ready}}", "127.0.0.1:" + ready);
      fields.put("{{listen_addresses.control}}", "127.0.0.1:" + relay);
      fields.put("{{ip_address}}:9464", "127.0.0.1:" + metrics);
      fields.put("{{#seed_addresses}}{{.}}{{,}}{{/seed_addresses}}", seeds.toString());
      fields.put("{{bounds.grace}}", "6s");
      fields.put("{{bounds.budget_ratio}}", "0.2");
      fields.put("{{bounds.budget_extra_attempts}}", "58");
      fields.put("{{bounds.budget_window}}", "10s");
      fields.put("{{bounds.cold_factor}}", "1.5");
      fields.put("{{bounds.cold_slack}}", "5");
      fields.put("{{platform.address}}", store.address());
      String text = Files.readString(Path.of("deploy/settings.ini"));
      for (Map.Entry<String, String> field : fields.entrySet()) text = text.replace(field.getKey(), field.getValue());
      if (text.contains("{{")) throw new IllegalStateException("a placeholder is left in the settings: " + text);
      return text;
    }
  }

  final Store store = new Store();
  final List<Router> routers = new ArrayList<>();
  final List<Target> targets = new ArrayList<>();
  final Path folder = Files.createTempDirectory("review");
  private final List<String> command = deployedCommand();
  private final long startedNanos = System.nanoTime();
  private final PrintWriter record;

  Cluster(String recordFile) throws Exception {
    record = new PrintWriter(new File(recordFile));
    record("trouble: " + TROUBLE);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killRouters));
  }

  /** Writes one line to the record. */
  synchronized void record(String line) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedNanos) / 1e9, line);
    record.flush();
  }

  void addRouter(String node, String zone) throws Exception {
    routers.add(new Router(node, zone));
  }

  Target addTarget(String id, String service, String zone, boolean keyed) throws Exception {
    Target target = new Target(id, service, zone, keyed);
    targets.add(target);
    store.put("keyed.servers", id, target.entry("ready"));
    return target;
  }

  /** Starts all routers and waits until they are ready. Exits with 2 if one does not get ready. */
  void startRouters() throws Exception {
    startRouters(0);
  }

  /** Like the other one, for the routers from the one with the index {@code first} on. */
  void startRouters(int first) throws Exception {
    List<Router> starting = routers.subList(first, routers.size());
    for (Router router : starting) router.start();
    for (Router router : starting) {
      long until = System.nanoTime() + 30_000_000_000L;
      while (!router.isReady()) {
        if (System.nanoTime() > until || !router.process.isAlive()) {
          router.log().lines().filter(line -> !line.contains("\"event\"")).limit(20).forEach(this::record);
          finish(2, router.node + " did not get ready");
        }
        Thread.sleep(100);
      }
    }
    record("all routers are ready");
  }

  int runsOf(String attempt) {
    int runs = 0;
    for (Target target : targets) {
      java.util.concurrent.atomic.AtomicInteger count = target.runs.get(attempt);
      if (count != null) runs += count.get();
    }
    return runs;
  }

  /** Ends all processes and exits. */
  void finish(int status, String line) throws Exception {
    record(line);
    record("exit status " + status);
    System.out.println(line);
    close();
    System.exit(status);
  }

  private void killRouters() {
    for (Router router : routers) {
      if (router.process != null) router.process.destroyForcibly();
    }
  }

  @Override
  public void close() throws Exception {
    killRouters();
    for (Router router : routers) {
      if (router.process != null) router.process.waitFor();
    }
    String kept = System.getenv("KEEP_LOGS");
    try (java.util.stream.Stream<Path> files = Files.list(folder)) {
      for (Path file : (Iterable<Path>) files::iterator) {
        if (kept != null) Files.copy(file, Path.of(kept).resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Files.delete(file);
      }
    }
    Files.delete(folder);
    record.flush();
  }

  private static List<String> deployedCommand() throws Exception {
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) throw new IllegalStateException("the deploy file has no command");
    return Arrays.asList(run.group(1).split(" "));
  }

  /** Returns a free port below those that the system gives to outgoing connections, which could take it before the router does. */
  private static int freePort() throws Exception {
    while (true) {
      int port = FIRST_PORT + RANDOM.nextInt(PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException taken) {
        // Tries another one.
      }
    }
  }

  private static final int FIRST_PORT = 15_000;
  private static final int PORTS = 15_000;
  private static final java.util.Random RANDOM = new java.util.Random();
}
