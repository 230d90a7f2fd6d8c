import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client connection that is kept for many requests. */
final class Caller implements AutoCloseable {
  private final Socket socket;
  private final InputStream in;

  Caller(int port) throws IOException {
    socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(String method, String host, String path, String attempt, long deadlineMs, String key, byte[] body) throws IOException {
    String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nYuccaflow-Attempt-Id: " + attempt
        + "\r\nYuccaflow-Deadline-Remaining: " + deadlineMs + "\r\n"
        + (key == null ? "" : "Yuccaflow-Shard-Key: " + key + "\r\n")
        + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    if (body != null) socket.getOutputStream().write(body);
    socket.getOutputStream().flush();
  }

  /** Reads one answer. Returns null if the connection ended before it was complete. */
  Http.Message receive(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    try {
      return Http.read(in, false);
    } catch (SocketTimeoutException late) {
      throw late;
    } catch (IOException ended) {
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
