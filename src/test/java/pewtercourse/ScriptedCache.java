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

/** Listens on a real socket as a cache or a parent whose responses a test defines. */
final class ScriptedCache implements Closeable {
    /** Responds to a request, leaves it unanswered or closes its connection. */
    interface Responder {
        void respond(Socket socket, String requestLine, String requestId) throws IOException;
    }

    /** Rejects the request and states that the cache did not run it. */
    static final String NEVER_RAN = "HTTP/1.1 503 Service Unavailable\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n";

    private final ServerSocket listener;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final List<String> requestIds = new CopyOnWriteArrayList<>();
    private final List<String> requestFields = new CopyOnWriteArrayList<>();
    private final List<String> requestLines = new CopyOnWriteArrayList<>();
    private final List<String> requestBodies = new CopyOnWriteArrayList<>();
    private volatile Responder responder;

    ScriptedCache(String host, Responder responder) throws IOException {
        this.listener = new ServerSocket(0, 128, InetAddress.getByName(host));
        this.responder = responder;
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-cache");
        thread.setDaemon(true);
        thread.start();
    }

    /** Responds 200 with this body. */
    static Responder respondWith(String body) {
        return (socket, line, id) -> write(
                socket,
                "HTTP/1.1 200 OK\r\nETag: t" + line.hashCode() + "\r\nOutcome: mem\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    /** Reads the request and never responds. */
    static Responder neverRespond() {
        return (socket, line, id) -> {};
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Replaces the responder, for requests read from now on. */
    void setResponder(Responder newResponder) {
        responder = newResponder;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String hostAndPort() {
        return address().getHostString() + ":" + address().getPort();
    }

    /** The ids of the completely received requests, in order of arrival. */
    List<String> requestIds() {
        return requestIds;
    }

    /** The header fields of all requests, in order of arrival. */
    List<String> requestFields() {
        return requestFields;
    }

    /** The request lines, in order of arrival. */
    List<String> requestLines() {
        return requestLines;
    }

    /** The bodies of the completely received requests, in order of arrival. */
    List<String> requestBodies() {
        return requestBodies;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                start(() -> read(connection));
            } catch (IOException e) {
                return; // The listener was closed.
            }
        }
    }

    private void read(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                String id = "";
                int bodyLength = 0;
                requestLines.add(line);
                for (String field = reader.readLine(); field != null && !field.isEmpty(); field = reader.readLine()) {
                    requestFields.add(field);
                    id = field.startsWith("Request-Id: ") ? field.substring("Request-Id: ".length()) : id;
                    bodyLength = field.startsWith("Content-Length: ")
                            ? Integer.parseInt(field.substring("Content-Length: ".length()))
                            : bodyLength;
                }
                requestBodies.add(readBody(reader, bodyLength));
                requestIds.add(id);
                responder.respond(connection, line, id);
            }
        } catch (IOException e) {
            // The director closed the connection.
        }
    }

    private static String readBody(BufferedReader reader, int length) throws IOException {
        char[] body = new char[length];
        int end = 0;
        for (int count = 0; end < length && count >= 0; end += Math.max(0, count)) {
            count = reader.read(body, end, length - end);
        }
        return new String(body, 0, end);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
