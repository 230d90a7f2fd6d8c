import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: topics with one partition, and groups whose partition 0 belongs to the oldest live member. */
final class Store {
  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final Map<String, long[]> members = new LinkedHashMap<>();
  private long generation = 1;
  final ServerSocket server;

  Store() throws Exception {
    server = Http.serve("127.0.0.1", this::handle);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Appends a record of the operator or of an upstream. A null value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream record = new ByteArrayOutputStream();
    record.write(name.length);
    record.writeBytes(name);
    if (value != null) record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
    topics.computeIfAbsent(topic, any -> new ArrayList<>()).add(record.toByteArray());
    notifyAll();
  }

  private Http.Response handle(Http.Message request, Socket connection) throws Exception {
    switch (request.path()) {
      case "/yuccaflow/log-append":
        return append(request);
      case "/yuccaflow/log-read":
        return read(request);
      case "/yuccaflow/log-newest":
        return newest(request);
      case "/yuccaflow/log-join":
        return join(request.text());
      case "/yuccaflow/log-leave":
        return leave(request.text());
      case "/yuccaflow/log-owners":
        return owners();
      default:
        return Http.Response.json(404, "{}");
    }
  }

  private synchronized Http.Response append(Http.Message request) {
    List<byte[]> log = topics.computeIfAbsent(request.query("topic"), any -> new ArrayList<>());
    String at = request.query("at");
    if (at != null && Long.parseLong(at) != log.size()) return Http.Response.json(412, "{\"end_offset\":" + log.size() + "}");
    int first = log.size();
    ByteBuffer body = ByteBuffer.wrap(request.body);
    while (body.hasRemaining()) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      log.add(record);
    }
    notifyAll();
    return Http.Response.json(200, "{\"offset\":" + first + ",\"end_offset\":" + log.size() + "}");
  }

  private synchronized Http.Response read(Http.Message request) throws Exception {
    int from = Integer.parseInt(request.query("from"));
    String wait = request.query("wait_ms");
    long until = System.currentTimeMillis() + (wait == null ? 0 : Long.parseLong(wait));
    List<byte[]> log = topics.computeIfAbsent(request.query("topic"), any -> new ArrayList<>());
    while (log.size() <= from && System.currentTimeMillis() < until) wait(until - System.currentTimeMillis());
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.size());
    out.writeLong(0);
    for (int i = from; i < log.size(); i++) {
      out.writeInt(log.get(i).length);
      out.write(log.get(i));
    }
    return new Http.Response(200, bytes.toByteArray());
  }

  private synchronized Http.Response newest(Http.Message request) {
    List<byte[]> log = topics.get(request.query("topic"));
    if (log == null) return Http.Response.json(404, "{}");
    Map<String, String> items = new TreeMap<>();
    for (int i = 0; i < log.size(); i++) {
      byte[] record = log.get(i);
      String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
      String encoded = Base64.getEncoder().encodeToString(value);
      if (value.length == 0) items.remove(key);
      else items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + encoded + "\",\"offset\":" + i + "}");
    }
    String list = String.join(",", items.values());
    return Http.Response.json(200, "{\"items\":[" + list + "],\"has_more\":false,\"end_offset\":" + log.size() + "}");
  }

  private synchronized Http.Response join(String call) {
    String member = field(call, "member");
    long ttlMs = Long.parseLong(field(call, "ttl_time").replace("ms", ""));
    if (!members.containsKey(member)) generation++;
    members.put(member, new long[] {System.currentTimeMillis() + ttlMs});
    expire();
    String parts = member.equals(holder()) ? "[\"keyed.yuccaflow\",0,0]" : "";
    return Http.Response.json(200, "{\"generation\":" + generation + ",\"ttl_time\":\"" + ttlMs + "ms\",\"parts\":[" + parts + "]}");
  }

  private synchronized Http.Response leave(String call) {
    if (members.remove(field(call, "member")) != null) generation++;
    return Http.Response.json(200, "{}");
  }

  private synchronized Http.Response owners() {
    expire();
    String row = members.isEmpty() ? "" : "[\"keyed.yuccaflow\",0,\"" + holder() + "\",0]";
    return Http.Response.json(200, "{\"owners\":[" + row + "]}");
  }

  private String holder() {
    return members.isEmpty() ? null : members.keySet().iterator().next();
  }

  private void expire() {
    long now = System.currentTimeMillis();
    if (members.values().removeIf(until -> until[0] < now)) generation++;
  }

  /** Returns the string field of a flat JSON object. */
  static String field(String json, String name) {
    Matcher found = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
    return found.find() ? found.group(1) : null;
  }
}
