import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The control feed of one director: numbered events from the one after its configuration's. */
final class Feed {
    private final ServerSocket server = new ServerSocket();
    private final List<String> events = new ArrayList<>(); // Of number known + 1 and on.
    private final int known;

    Feed(int known) throws IOException {
        this.known = known;
        server.bind(new InetSocketAddress(Lab.loopback(), 0), 64);
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds an event; {@code content} is what follows the number. */
    synchronized void publish(String content) {
        events.add(content);
        notifyAll();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int next = known;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    next = Integer.parseInt(line.substring(14).trim());
                }
            }
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            long commentAt = System.currentTimeMillis();
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    if (next - known >= events.size()) {
                        wait(200);
                    }
                    while (next - known < events.size()) {
                        text.append("id: ").append(next + 1).append("\ndata: {\"n\":").append(next + 1).append(',')
                                .append(events.get(next - known)).append("}\n\n");
                        next++;
                    }
                }
                if (System.currentTimeMillis() >= commentAt) {
                    text.append(": here\n\n");
                    commentAt = System.currentTimeMillis() + 1_000;
                }
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The director has closed the stream.
        }
    }
}
