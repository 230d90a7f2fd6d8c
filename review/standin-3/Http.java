import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** A request or a response. {@code start} is its first line. */
    static final class Message {
        String start;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the body ended as its framing says. */
        boolean complete = true;

        String header(String name) {
            for (String[] line : headers) if (line[0].equalsIgnoreCase(name)) return line[1];
            return null;
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        Map<String, String> query() {
            Map<String, String> values = new LinkedHashMap<>();
            int mark = target().indexOf('?');
            if (mark < 0) return values;
            for (String pair : target().substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                String value = java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                values.put(pair.substring(0, equals), value);
            }
            return values;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message, or returns null at the end of the stream. A response without a length ends with the stream. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line;
        while (true) {
            line = line(in);
            if (line == null) throw new IOException("the stream ended within a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = chunks(in);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            message.complete = message.body.length == Integer.parseInt(length);
        } else if (isResponse && message.status() >= 200 && message.status() != 204 && message.status() != 304) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new IOException("the stream ended within a body");
            int bytes = Integer.parseInt(size.trim(), 16);
            body.write(in.readNBytes(bytes));
            line(in);
            if (bytes == 0) return body.toByteArray();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Returns the bytes of a message with {@code body} and its length. Each header is a line without its end. */
    static byte[] message(String start, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (String header : headers) if (header != null) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }

    static byte[] message(String start, String body, String... headers) {
        return message(start, body.getBytes(StandardCharsets.UTF_8), headers);
    }
}
