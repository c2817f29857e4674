import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One FastCGI connection of a web server, with KEEP_CONN and up to 32 requests. */
final class FastCgi implements Closeable {
    /** A whole answer to one request. */
    record Answer(int id, int protocolStatus, byte[] raw) {
        String head() {
            String text = new String(raw, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            return end < 0 ? text : text.substring(0, end);
        }

        int bodyLength() {
            String text = new String(raw, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            return end < 0 ? 0 : raw.length - end - 4;
        }

        int status() {
            for (String line : head().split("\r\n")) {
                if (line.startsWith("Status: ")) {
                    return Integer.parseInt(line.substring(8, 11));
                }
            }
            return 0;
        }

        /** As the protocol page words it: served, refused or failed. */
        String kind() {
            if (status() == 429 || status() == 503 || protocolStatus == 2) {
                return "refused";
            }
            return status() == 200 ? "served" : "failed";
        }
    }

    final Socket socket = new Socket();
    private final Map<Integer, ByteArrayOutputStream> output = new HashMap<>();
    private final int bytesPerSecond;
    private long readSince;
    private long bytesRead;

    /** Connects; reads no faster than {@code bytesPerSecond}, or as fast as it can if that is 0. */
    FastCgi(int port, int bytesPerSecond) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        if (bytesPerSecond > 0) {
            socket.setReceiveBufferSize(64 * 1024);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
    }

    private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
        for (int offset = 0; offset < content.length || offset == 0; offset += 32_000) {
            int length = Math.min(32_000, content.length - offset);
            out.write(1);
            out.write(type);
            out.write(id >> 8);
            out.write(id);
            out.write(length >> 8);
            out.write(length);
            out.write(0);
            out.write(0);
            out.write(content, offset, length);
            if (content.length == 0) {
                return;
            }
        }
    }

    private static void length(ByteArrayOutputStream out, int length) {
        if (length < 128) {
            out.write(length);
        } else {
            out.write(length >> 24 | 0x80);
            out.write(length >> 16);
            out.write(length >> 8);
            out.write(length);
        }
    }

    /** Encodes one request as Responder with KEEP_CONN. */
    static byte[] encode(int id, Map<String, String> params, byte[] body) {
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        params.forEach((name, value) -> {
            byte[] n = name.getBytes(StandardCharsets.UTF_8);
            byte[] v = value.getBytes(StandardCharsets.UTF_8);
            length(pairs, n.length);
            length(pairs, v.length);
            pairs.writeBytes(n);
            pairs.writeBytes(v);
        });
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        record(out, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(out, 4, id, pairs.toByteArray());
        record(out, 4, id, new byte[0]);
        if (body.length > 0) {
            record(out, 5, id, body);
        }
        record(out, 5, id, new byte[0]);
        return out.toByteArray();
    }

    void send(int id, Map<String, String> params, byte[] body) throws IOException {
        socket.getOutputStream().write(encode(id, params, body));
        socket.getOutputStream().flush();
    }

    void abort(int id) throws IOException {
        socket.getOutputStream().write(new byte[] {1, 2, (byte) (id >> 8), (byte) id, 0, 0, 0, 0});
        socket.getOutputStream().flush();
    }

    /** Reads until one answer is whole; null if the connection ends orderly before; throws at a reset or time-out. */
    Answer readAnswer(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        while (true) {
            byte[] head = read(8);
            if (head == null) {
                return null;
            }
            int id = (head[2] & 255) << 8 | head[3] & 255;
            byte[] content = read(((head[4] & 255) << 8 | head[5] & 255) + (head[6] & 255));
            if (content == null) {
                return null;
            }
            int contentLength = (head[4] & 255) << 8 | head[5] & 255;
            if (head[1] == 6) {
                output.computeIfAbsent(id, key -> new ByteArrayOutputStream()).write(content, 0, contentLength);
            } else if (head[1] == 3) {
                ByteArrayOutputStream whole = output.remove(id);
                return new Answer(id, content[4] & 255, whole == null ? new byte[0] : whole.toByteArray());
            }
        }
    }

    /** Bytes of unfinished answers. */
    int unfinished() {
        return output.values().stream().mapToInt(ByteArrayOutputStream::size).sum();
    }

    private byte[] read(int length) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] bytes = new byte[length];
        for (int offset = 0; offset < length; ) {
            int n = in.read(bytes, offset, Math.min(length - offset, 16 * 1024));
            if (n < 0) {
                return null;
            }
            offset += n;
            pace(n);
        }
        return bytes;
    }

    private void pace(int n) {
        if (bytesPerSecond == 0) {
            return;
        }
        long now = System.nanoTime();
        if (readSince == 0) {
            readSince = now;
        }
        bytesRead += n;
        long due = readSince + bytesRead * 1_000_000_000L / bytesPerSecond;
        if (due > now) {
            try {
                Thread.sleep((due - now) / 1_000_000, (int) ((due - now) % 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
