package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** A blocking FastCGI client whose every byte the test writes when it wants to. */
public final class RawFrontClient implements Closeable {
    private static final int TIMEOUT_MS = 30_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final Map<Integer, Buffer> partial = new HashMap<>();

    public RawFrontClient(InetSocketAddress to) throws IOException {
        this(to, 0, 0);
    }

    /**
     * With buffers of so many bytes, 0 for the usual ones. A small receive buffer leaves most of a large answer with its sender
     * until it is read; a large send buffer takes so many bytes at once, read or not.
     */
    public RawFrontClient(InetSocketAddress to, int receiveBuffer, int sendBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        if (sendBuffer > 0) {
            socket.setSendBufferSize(sendBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(to, TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
    }

    /** A whole request for an object of 10 KB, on a connection that is kept. */
    public static byte[] request(int requestId, String className, String correlationId, int deadlineMs) {
        return request(requestId, className, correlationId, "7f3a9c21e0b4d655", deadlineMs);
    }

    public static byte[] request(int requestId, String className, String correlationId, String object, int deadlineMs) {
        Map<String, String> params = new LinkedHashMap<>();
        params.put("SCRIPT_NAME", "/ops/" + className);
        params.put("REQUEST_METHOD", "GET");
        params.put("HTTP_X_CORRELATION_ID", correlationId);
        params.put("HTTP_X_SUBJECT", object);
        params.put("HTTP_X_DEADLINE_MS", String.valueOf(deadlineMs));
        params.put("HTTP_X_NEED_KB", "10");
        return request(requestId, params);
    }

    /** A complete request with these parameters, on a connection that is kept. */
    public static byte[] request(int requestId, Map<String, String> params) {
        return Record.encode(Record.BEGIN, requestId, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0}))
                .appendBuffer(Record.encode(Record.PARAMS, requestId, Record.pairs(params)))
                .appendBuffer(Record.encode(Record.PARAMS, requestId, Buffer.buffer()))
                .appendBuffer(Record.encode(Record.STDIN, requestId, Buffer.buffer()))
                .getBytes();
    }

    public static byte[] abort(int requestId) {
        return Record.encode(Record.ABORT, requestId, Buffer.buffer()).getBytes();
    }

    public RawFrontClient write(byte[] bytes) throws IOException {
        return write(bytes, 0, bytes.length);
    }

    public RawFrontClient write(byte[] bytes, int from, int to) throws IOException {
        socket.getOutputStream().write(bytes, from, to - from);
        return this;
    }

    /** The next whole answer: head and body as one text. Null if the connection ended instead; throws if it was reset. */
    public String readAnswer() throws IOException {
        while (true) {
            byte[] head = new byte[Record.HEADER];
            try {
                in.readFully(head);
            } catch (EOFException e) {
                return null;
            }
            Buffer header = Buffer.buffer(head);
            byte[] content = new byte[header.getUnsignedShort(4)];
            in.readFully(content);
            in.readFully(new byte[header.getUnsignedByte(6)]);
            int id = header.getUnsignedShort(2);
            if (header.getUnsignedByte(1) == Record.STDOUT) {
                partial.computeIfAbsent(id, i -> Buffer.buffer()).appendBytes(content);
            } else if (header.getUnsignedByte(1) == Record.END) {
                Buffer whole = partial.remove(id);
                return whole == null ? "" : whole.toString(StandardCharsets.ISO_8859_1);
            }
        }
    }

    public InputStream input() {
        return in;
    }

    /** Closes with a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
