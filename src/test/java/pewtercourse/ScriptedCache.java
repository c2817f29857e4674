package pewtercourse;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A cache, a parent or the control feed on a real socket, whose answers a test writes. */
final class ScriptedCache implements Closeable {
    /** Answers one request, or leaves it, or ends its connection. */
    interface Play {
        void answer(Socket socket, String requestLine, String requestId) throws IOException;
    }

    /** Turned away by a cache that can say so for sure. */
    static final String NEVER_RAN = "HTTP/1.1 503 Service Unavailable\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n";

    private final ServerSocket listener;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final List<String> requestIds = new CopyOnWriteArrayList<>();
    private volatile Play play;

    ScriptedCache(String host, Play play) throws IOException {
        this.listener = new ServerSocket(0, 128, InetAddress.getByName(host));
        this.play = play;
        start(this::accept);
    }

    private static void start(Runnable what) {
        Thread thread = new Thread(what, "scripted-cache");
        thread.setDaemon(true);
        thread.start();
    }

    /** 200 with this body. */
    static Play serve(String body) {
        return (socket, line, id) -> write(
                socket,
                "HTTP/1.1 200 OK\r\nETag: t" + line.hashCode() + "\r\nOutcome: mem\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    /** Takes the request and says nothing. */
    static Play hang() {
        return (socket, line, id) -> {};
    }

    static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void play(Play next) {
        play = next;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String dial() {
        return address().getHostString() + ":" + address().getPort();
    }

    /** Ids of the requests that came whole, in their order. */
    List<String> requestIds() {
        return requestIds;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                start(() -> read(connection));
            } catch (IOException e) {
                return; // It was closed.
            }
        }
    }

    private void read(Socket connection) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String id = "";
                for (String field = in.readLine(); field != null && !field.isEmpty(); field = in.readLine()) {
                    id = field.startsWith("Request-Id: ") ? field.substring("Request-Id: ".length()) : id;
                }
                requestIds.add(id);
                play.answer(connection, line, id);
            }
        } catch (IOException e) {
            // The director gave it up.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
