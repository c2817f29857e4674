package pewtercourse;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The control feed on a real socket: the test takes each call and writes each byte of its stream. */
final class ScriptedFeed implements Closeable {
    private static final int TIMEOUT_MS = 60_000;

    private final ServerSocket listener;

    ScriptedFeed(String host) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName(host));
        listener.setSoTimeout(TIMEOUT_MS);
    }

    String dial() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** The next call, answered with the head of an endless stream. */
    Watch next() throws IOException {
        Watch watch = new Watch(listener.accept());
        watch.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
        return watch;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** One call. */
    static final class Watch implements Closeable {
        private final Socket socket;
        private final long after;

        private Watch(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String last = "";
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                last = line.toLowerCase().startsWith("last-event-id:")
                        ? line.substring("last-event-id:".length()).strip()
                        : last;
            }
            this.after = Long.parseLong(last);
        }

        /** The number of the last event that the director has. */
        long after() {
            return after;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void event(long number, String json) throws IOException {
            write("id: " + number + "\ndata: " + json + "\n\n");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
