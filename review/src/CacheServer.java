import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A cache, parent or origin: HTTP/1.1, one request at a time on a connection. */
final class CacheServer implements AutoCloseable {
    /** One request as it arrived. */
    record Request(String path, Map<String, String> fields, byte[] body, long firstByteAt) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Answers a request on its connection; may close or reset the connection. */
    interface Behaviour {
        void answer(CacheServer cache, Request request, Socket socket) throws IOException, InterruptedException;
    }

    final String name;
    final int port;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    CacheServer(String name, Behaviour behaviour) throws IOException {
        this(name, behaviour, 0);
    }

    CacheServer(String name, Behaviour behaviour, int port) throws IOException {
        this.name = name;
        this.behaviour = behaviour;
        this.listener = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
        this.port = listener.getLocalPort();
        daemon(this::accept);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null && !socket.isClosed(); request = read(in)) {
                behaviour.answer(this, request, socket);
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        int first = in.read();
        long firstByteAt = System.nanoTime();
        String start = first < 0 ? null : line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new Request(start.split(" ")[1], fields, body, firstByteAt);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return text.toString();
            }
            if (b != '\r') {
                text.append((char) b);
            }
        }
        return null;
    }

    static byte[] head(int status, int length, String... fields) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + length + "\r\n");
        for (int i = 0; i < fields.length; i += 2) {
            head.append(fields[i]).append(": ").append(fields[i + 1]).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void reply(Socket socket, int status, byte[] body, String... fields) throws IOException {
        byte[] head = head(status, body.length, fields);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        OutputStream out = socket.getOutputStream();
        out.write(whole);
        out.flush();
    }

    /** Closes a connection so that the peer sees a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Ends like a process that dies: refuses connections, and resets the open ones. */
    void die() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            reset(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
