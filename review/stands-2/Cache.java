import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The sockets of one cache, parent or origin: HTTP/1.1, one request at a time on a connection. */
final class Cache implements AutoCloseable {
    /** A request that has arrived whole. */
    record Request(String path, Map<String, String> headers, byte[] body, long arrivedAtMs) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }
    }

    /** An answer; {@code late} comes on the same connection after {@code lateMs}, or is null. */
    record Reply(int status, Map<String, String> headers, byte[] body, byte[] late, long lateMs) {
        Reply(int status, Map<String, String> headers, byte[] body) {
            this(status, headers, body, null, 0);
        }

        byte[] encode() {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            return bytes.toByteArray();
        }
    }

    /** What the machine does; null for a request that is never answered. */
    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    final String id;
    private final ServerSocket server;
    private final Handler handler;
    private final List<Socket> connections = new ArrayList<>();
    private volatile boolean down;

    Cache(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(Lab.loopback(), 0), 512);
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** A line of the list of caches. */
    String line(String site, String kind, String health, long bornMs) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + address() + "\",\"site\":\"" + site + "\",\"class\":\"" + kind
                + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1,\"born_ms\":" + bornMs + "}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                synchronized (connections) {
                    if (down) {
                        socket.close();
                        continue;
                    }
                    connections.add(socket);
                }
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The process has died.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                Reply reply = handler.handle(request);
                if (reply == null) {
                    while (in.read() >= 0) {
                        // Nothing is said any more.
                    }
                    return;
                }
                out.write(reply.encode());
                out.flush();
                if (reply.late() != null) {
                    Thread.sleep(reply.lateMs());
                    out.write(reply.late());
                    out.flush();
                }
            }
        } catch (Exception e) {
            // The director has closed the connection.
        } finally {
            synchronized (connections) {
                connections.remove(socket);
            }
        }
    }

    private static Request read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int lineBreaks = 0; lineBreaks < 2; ) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            lineBreaks = next == '\n' ? lineBreaks + 1 : next == '\r' ? lineBreaks : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(lines[0].split(" ")[1], headers, body, System.currentTimeMillis());
    }

    /** The process dies: its connections are reset, new ones are refused. */
    void die() throws IOException {
        down = true;
        server.close();
        synchronized (connections) {
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            connections.clear();
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
