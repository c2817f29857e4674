package pewtercourse;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Listens on a real socket as the control feed: the test accepts each connection and writes each byte of its stream. */
final class ScriptedFeed implements Closeable {
    private static final int ACCEPT_TIMEOUT_MS = 60_000;

    private final ServerSocket listener;

    ScriptedFeed(String host) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName(host));
        listener.setSoTimeout(ACCEPT_TIMEOUT_MS);
    }

    String hostAndPort() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Accepts the next connection and responds with the head of an event stream without an end. */
    Watch accept() throws IOException {
        Watch watch = new Watch(listener.accept());
        watch.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
        return watch;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** One connection of the director to the feed. */
    static final class Watch implements Closeable {
        private final Socket socket;
        private final long lastEventId;

        private Watch(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String lastEventIdHeader = "";
            for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                lastEventIdHeader = line.toLowerCase().startsWith("last-event-id:")
                        ? line.substring("last-event-id:".length()).strip()
                        : lastEventIdHeader;
            }
            this.lastEventId = Long.parseLong(lastEventIdHeader);
        }

        /** The id of the last event that the director has received, as sent in its request. */
        long lastEventId() {
            return lastEventId;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void writeEvent(long eventId, String json) throws IOException {
            write("id: " + eventId + "\ndata: " + json + "\n\n");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
