import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** A message: its start line, its header lines and its body. */
    static final class Message {
        String start = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        /** Returns the first value of header [name], or null. */
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
            String target = target();
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        /** Returns the parameter [name] of the query, or null. */
        String query(String name) {
            int at = target().indexOf('?');
            if (at < 0) return null;
            for (String part : target().substring(at + 1).split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the start line and the headers. Returns null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("the head is incomplete");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a whole message whose body has a length or comes in chunks. Returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("the body is incomplete");
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(in);
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).trim(), 16);
            body.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.length() == 0) return null;
                throw new EOFException("the line is incomplete");
            }
            if (c == '\n') break;
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    /** Returns the bytes of a response. [headers] alternates names and values. */
    static byte[] response(int status, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (int i = 0; i < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return join(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    static byte[] join(byte[] first, byte[] second) {
        byte[] both = new byte[first.length + second.length];
        System.arraycopy(first, 0, both, 0, first.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    /** Writes all of [bytes] in one call. */
    static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
