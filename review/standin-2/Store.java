import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as routers use it: topics with one partition, and groups whose first live member gets the partition. */
final class Store {
    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
    }

    private static final class Member {
        long seenAtMs;
        long ttlMs;
    }

    private static final class Group {
        final Map<String, Member> members = new LinkedHashMap<>();
        List<String> topics = List.of();
        long generation;
    }

    private final Map<String, Topic> topics = new LinkedHashMap<>();
    private final Map<String, Group> groups = new LinkedHashMap<>();
    final Server server;

    Store(String host) throws IOException {
        server = new Server(host, this::handle);
    }

    /** Writes a record on behalf of the operator or an upstream. A null value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        topic(topic).records.add(Http.join(Http.join(new byte[] {(byte) name.length}, name), content));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, unused -> new Topic());
    }

    private void handle(Http.Message request, Server.Connection connection) throws Exception {
        switch (request.path()) {
            case "/yuccaflow/log-append" -> append(request, connection);
            case "/yuccaflow/log-read" -> connection.answer(200, read(request));
            case "/yuccaflow/log-newest" -> newest(request, connection);
            case "/yuccaflow/log-join" -> connection.answer(200, join(request.text()).getBytes());
            case "/yuccaflow/log-leave" -> {
                leave(request.text());
                connection.answer(200, "{}".getBytes());
            }
            case "/yuccaflow/log-owners" -> connection.answer(200, owners(request.query("group")).getBytes());
            default -> connection.answer(404, new byte[0]);
        }
    }

    private void append(Http.Message request, Server.Connection connection) throws IOException {
        String name = request.query("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            connection.answer(403, new byte[0]);
            return;
        }
        List<byte[]> added = new ArrayList<>();
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(request.body));
        while (in.available() > 0) added.add(in.readNBytes(in.readInt()));
        String at = request.query("at");
        int status;
        String body;
        synchronized (this) {
            List<byte[]> records = topic(name).records;
            if (at != null && Long.parseLong(at) != records.size()) {
                status = 412;
                body = "{\"end_offset\":" + records.size() + "}";
            } else {
                status = 200;
                body = "{\"offset\":" + records.size() + ",\"end_offset\":" + (records.size() + added.size()) + "}";
                records.addAll(added);
                notifyAll();
            }
        }
        connection.answer(status, body.getBytes());
    }

    private byte[] read(Http.Message request) throws Exception {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait_ms");
        long endsAtMs = nowMs() + (wait == null ? 0 : Long.parseLong(wait));
        List<byte[]> found;
        long end;
        synchronized (this) {
            List<byte[]> records = topic(request.query("topic")).records;
            while (records.size() <= from && nowMs() < endsAtMs) wait(Math.max(1, endsAtMs - nowMs()));
            end = records.size();
            found = from < end ? new ArrayList<>(records.subList(from, records.size())) : List.of();
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(end);
        out.writeLong(0);
        String limit = request.query("maximum_kilobytes");
        int maxBytes = (limit == null ? 1024 : Integer.parseInt(limit)) * 1024;
        for (byte[] record : found) {
            if (bytes.size() > 16 && bytes.size() + record.length > maxBytes) break;
            out.writeInt(record.length);
            out.write(record);
        }
        return bytes.toByteArray();
    }

    private void newest(Http.Message request, Server.Connection connection) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (this) {
            Topic topic = topic(request.query("topic"));
            TreeMap<String, Integer> offsets = new TreeMap<>();
            for (int i = 0; i < topic.records.size(); i++) offsets.put(keyOf(topic.records.get(i)), i);
            String after = request.query("after");
            for (Map.Entry<String, Integer> entry : offsets.entrySet()) {
                byte[] value = valueOf(topic.records.get(entry.getValue()));
                if (value.length == 0 || (after != null && entry.getKey().compareTo(after) <= 0)) continue;
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"");
                items.append(Base64.getEncoder().encodeToString(value)).append("\",\"offset\":").append(entry.getValue()).append('}');
            }
            end = topic.records.size();
        }
        connection.answer(200, ("{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}").getBytes());
    }

    private static String keyOf(byte[] record) {
        return new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
    }

    private static byte[] valueOf(byte[] record) {
        return Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
    }

    private synchronized String join(String call) {
        Group group = groups.computeIfAbsent(text(call, "group"), unused -> new Group());
        String name = text(call, "member");
        if (!group.members.containsKey(name)) group.generation++;
        Member member = group.members.computeIfAbsent(name, unused -> new Member());
        member.seenAtMs = nowMs();
        member.ttlMs = Long.parseLong(text(call, "ttl_time").replace("ms", ""));
        Matcher topicNames = Pattern.compile("\"topics\":\\[\"([^\"]*)\"\\]").matcher(call);
        if (topicNames.find()) group.topics = List.of(topicNames.group(1));
        expire(group);
        boolean isFirst = group.members.keySet().iterator().next().equals(name);
        String parts = isFirst ? "[\"" + group.topics.get(0) + "\",0,0]" : "";
        return "{\"generation\":" + group.generation + ",\"ttl_time\":\"" + member.ttlMs + "ms\",\"parts\":[" + parts + "]}";
    }

    private synchronized void leave(String call) {
        Group group = groups.get(text(call, "group"));
        if (group != null && group.members.remove(text(call, "member")) != null) group.generation++;
    }

    private synchronized String owners(String name) {
        Group group = groups.get(name);
        if (group == null) return "{\"owners\":[]}";
        expire(group);
        if (group.members.isEmpty() || group.topics.isEmpty()) return "{\"owners\":[]}";
        return "{\"owners\":[[\"" + group.topics.get(0) + "\",0,\"" + group.members.keySet().iterator().next() + "\",0]]}";
    }

    private void expire(Group group) {
        if (group.members.values().removeIf(member -> nowMs() - member.seenAtMs > member.ttlMs)) group.generation++;
    }

    private static String text(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
