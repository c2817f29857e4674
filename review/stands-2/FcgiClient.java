import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A web server's connection: FastCGI 1.0, role Responder, with KEEP_CONN and several requests at once. */
final class FcgiClient implements AutoCloseable {
    /** The answer to one request. */
    static final class Answer {
        private final CountDownLatch ended = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        volatile boolean complete;
        volatile int protocolStatus = -1;
        volatile long endedAtMs;

        boolean await(long millis) throws InterruptedException {
            return ended.await(millis, TimeUnit.MILLISECONDS) && complete;
        }

        synchronized int receivedBytes() {
            return bytes.size();
        }

        synchronized String head() {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            return end < 0 ? "" : text.substring(0, end);
        }

        synchronized byte[] body() {
            byte[] all = bytes.toByteArray();
            int end = head().length() + 4;
            return end > all.length ? new byte[0] : java.util.Arrays.copyOfRange(all, end, all.length);
        }

        /** 200 served, 429 or 503 refused, else failed; 503 also for the protocol status OVERLOADED; 0 without an answer. */
        int status() {
            if (!complete) {
                return 0;
            }
            if (protocolStatus == 2) {
                return 503;
            }
            for (String line : head().split("\r\n")) {
                if (line.startsWith("Status: ")) {
                    return Integer.parseInt(line.substring(8, 11));
                }
            }
            return -1;
        }
    }

    private final Socket socket = new Socket();
    private final OutputStream out;
    private final Map<Integer, Answer> open = new ConcurrentHashMap<>();
    private final long bytesPerSecond;
    volatile boolean ended;

    FcgiClient(int port) throws IOException {
        this(port, 0);
    }

    /** Reads at most {@code bytesPerSecond}; 0: at full speed. */
    FcgiClient(int port, long bytesPerSecond) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        if (bytesPerSecond > 0) {
            socket.setReceiveBufferSize(64 * 1024);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(Lab.loopback(), port), 1_000);
        out = socket.getOutputStream();
        Thread reader = new Thread(this::read);
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends one request. */
    Answer send(int id, Map<String, String> params, byte[] body) throws IOException {
        return send(id, params, body, 0);
    }

    /** Sends one request, in pieces of 500 bytes and at {@code bytesPerSecond}, or at once if that is 0. */
    Answer send(int id, Map<String, String> params, byte[] body, long bytesPerSecond) throws IOException {
        Answer answer = new Answer();
        open.put(id, answer);
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        params.forEach((name, value) -> {
            writeLength(pairs, name.length());
            writeLength(pairs, value.length());
            pairs.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
            pairs.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
        });
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        record(message, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(message, 4, id, pairs.toByteArray());
        record(message, 4, id, new byte[0]);
        if (body.length > 0) {
            record(message, 5, id, body);
        }
        record(message, 5, id, new byte[0]);
        byte[] bytes = message.toByteArray();
        int piece = bytesPerSecond > 0 ? 500 : bytes.length;
        synchronized (out) {
            for (int from = 0; from < bytes.length; from += piece) {
                out.write(bytes, from, Math.min(piece, bytes.length - from));
                out.flush();
                if (bytesPerSecond > 0) {
                    try {
                        Thread.sleep(piece * 1_000L / bytesPerSecond);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
            }
        }
        return answer;
    }

    /** Says that the client no longer waits. */
    void abort(int id) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        record(message, 2, id, new byte[0]);
        synchronized (out) {
            out.write(message.toByteArray());
            out.flush();
        }
    }

    private static void writeLength(ByteArrayOutputStream pairs, int length) {
        if (length < 128) {
            pairs.write(length);
        } else {
            pairs.write(0x80 | length >>> 24);
            pairs.write(length >>> 16);
            pairs.write(length >>> 8);
            pairs.write(length);
        }
    }

    private static void record(ByteArrayOutputStream message, int type, int id, byte[] content) {
        message.write(1);
        message.write(type);
        message.write(id >>> 8);
        message.write(id);
        message.write(content.length >>> 8);
        message.write(content.length);
        message.write(0);
        message.write(0);
        message.writeBytes(content);
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            long startedAt = System.nanoTime();
            long total = 0;
            while (true) {
                in.readUnsignedByte();
                int type = in.readUnsignedByte();
                int id = in.readUnsignedShort();
                int length = in.readUnsignedShort();
                int padding = in.readUnsignedByte();
                in.readUnsignedByte();
                byte[] content = new byte[length];
                int got = 0;
                while (got < length) {
                    int piece = in.read(content, got, Math.min(8_192, length - got));
                    if (piece < 0) {
                        throw new IOException("ended");
                    }
                    got += piece;
                    total += piece;
                    if (bytesPerSecond > 0) {
                        long dueNanos = startedAt + (long) (total * 1e9 / bytesPerSecond);
                        long waitMs = (dueNanos - System.nanoTime()) / 1_000_000;
                        if (waitMs > 0) {
                            Thread.sleep(waitMs);
                        } else {
                            // What was not read in time is not made up for: the pace is a bound at each moment.
                            startedAt = Math.max(startedAt, System.nanoTime() - (long) (total * 1e9 / bytesPerSecond));
                        }
                    }
                }
                in.skipNBytes(padding);
                Answer answer = open.get(id);
                if (answer == null) {
                    continue;
                }
                if (type == 6) {
                    synchronized (answer) {
                        answer.bytes.writeBytes(content);
                    }
                } else if (type == 3) {
                    open.remove(id);
                    answer.protocolStatus = content[4];
                    answer.complete = true;
                    answer.endedAtMs = System.currentTimeMillis();
                    answer.ended.countDown();
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        } finally {
            ended = true;
            open.values().forEach(answer -> answer.ended.countDown());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
