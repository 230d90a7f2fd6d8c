import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with a thread for each connection, on a loopback address. */
final class Server {
    private static final int BACKLOG = 500;

    /** Answers one request. An exception closes the connection. */
    interface Handler {
        void handle(Http.Message request, Connection connection) throws Exception;
    }

    /** A connection of a caller. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void answer(int status, byte[] body, String... headers) throws IOException {
            Http.write(out, Http.response(status, body, headers));
        }
    }

    private final ServerSocket listener;
    private final Handler handler;

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(String host, Handler handler) throws IOException {
        this(host, 0, handler);
    }

    Server(String host, int port, Handler handler) throws IOException {
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(host, port), BACKLOG);
        this.handler = handler;
        daemon(this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Closes the listener and resets all connections, as the end of the process does. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in);
                if (request == null) return;
                handler.handle(request, connection);
            }
        } catch (Exception closed) {
            // The caller has closed the connection, or the handler wants it closed.
        } finally {
            open.remove(socket);
        }
    }

    static Thread daemon(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
