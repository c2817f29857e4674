import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The control feed: numbered events by server-sent events, with a comment each second. */
final class Feed implements AutoCloseable {
    final int port;
    private final ServerSocket listener;
    private final List<String> events = new ArrayList<>(); // From number 1.
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean silent;

    Feed() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        CacheServer.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Adds an event; {@code body} is its JSON after the number. Returns the number. */
    synchronized int add(String body) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + "," + body + "}");
        notifyAll();
        return number;
    }

    synchronized String known() {
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    /** While silent, open connections stay open and nothing is sent; new ones come up and get no answer. */
    void setSilent(boolean on) {
        silent = on;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                CacheServer.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            int last = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(14).trim());
                }
            }
            OutputStream out = socket.getOutputStream();
            awaitSpeech();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                awaitSpeech();
                StringBuilder text = new StringBuilder(": here\n\n");
                synchronized (this) {
                    for (; last < events.size(); last++) {
                        text.append("id: ").append(last + 1).append("\ndata: ").append(events.get(last)).append("\n\n");
                    }
                }
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                synchronized (this) {
                    if (last == events.size()) {
                        wait(1_000);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            // The director has closed the stream.
        } finally {
            sockets.remove(socket);
        }
    }

    private void awaitSpeech() throws InterruptedException {
        while (silent) {
            Thread.sleep(20);
        }
    }

    static String host(String name, int port, String zone, String kind, String state) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + zone + "\",\"class\":\"" + kind
                + "\",\"block\":0,\"health\":\"" + state + "\",\"share\":1,\"born_ms\":0}";
    }

    static String members(int seq, boolean whole, String... hosts) {
        return "\"members\":{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
