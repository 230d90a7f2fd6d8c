import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small blocking HTTP/1.1 implementation for the stand-ins: one thread per connection. */
final class Http {
  private Http() {}

  /** A request or a response. Header names are in lower case. */
  static final class Message {
    final String startLine;
    final Map<String, String> headers;
    final byte[] body;

    Message(String startLine, Map<String, String> headers, byte[] body) {
      this.startLine = startLine;
      this.headers = headers;
      this.body = body;
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String query(String name) {
      int mark = target().indexOf('?');
      if (mark < 0) return null;
      for (String part : target().substring(mark + 1).split("&")) {
        if (part.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static final class Response {
    final int status;
    final byte[] body;
    final Map<String, String> headers = new LinkedHashMap<>();

    Response(int status, byte[] body) {
      this.status = status;
      this.body = body;
    }

    static Response json(int status, String text) {
      return new Response(status, text.getBytes(StandardCharsets.UTF_8)).with("Content-Type", "application/json");
    }

    Response with(String name, String value) {
      headers.put(name, value);
      return this;
    }
  }

  /** Answers a request. Null closes the connection without an answer. */
  interface Handler {
    Response handle(Message request, Socket connection) throws Exception;
  }

  /** Starts a server on a free loopback port. */
  static ServerSocket serve(String host, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 500);
    daemon(() -> {
      while (!server.isClosed()) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serveConnection(socket, handler));
      }
    });
    return server;
  }

  private static void serveConnection(Socket socket, Handler handler) throws Exception {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      while (true) {
        Message request = read(in, true);
        if (request == null) return;
        Response response = handler.handle(request, socket);
        if (response == null) return;
        write(socket.getOutputStream(), response);
      }
    } catch (IOException closed) {
      // The peer closed or reset the connection.
    }
  }

  static void write(OutputStream out, Response response) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status + " X\r\n");
    response.headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(response.body.length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.write(response.body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  /** Reads one message, or returns null if the connection ends before its first byte. */
  static Message read(InputStream in, boolean isRequest) throws IOException {
    String start = line(in);
    if (start == null) return null;
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    String length = headers.get("content-length");
    if (length == null && !isRequest) throw new EOFException("a response without a length");
    byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
    if (length != null && body.length < Integer.parseInt(length)) throw new EOFException("the body ended early");
    return new Message(start, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() > 0) throw new EOFException("the connection ended within a line");
        return null;
      }
      if (next == '\n') return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      bytes.write(next);
    }
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception ended) {
        // Ends with its connection or listener.
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
