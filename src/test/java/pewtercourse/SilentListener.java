package pewtercourse;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Listens with a full accept queue and never accepts, so that connections to it are never established. */
public final class SilentListener implements Closeable {
    // Fields of a line of /proc/net/tcp.
    private static final int TCP_REMOTE_ADDRESS = 2;
    private static final int TCP_STATE = 3;
    private static final String SYN_SENT = "02";
    private static final int MAX_QUEUED_CONNECTIONS = 8;
    private static final int CONNECT_TIMEOUT_MS = 200;

    private final ServerSocket listener;
    private final List<Socket> queuedConnections = new ArrayList<>();

    public SilentListener(String host) throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName(host));
        try {
            for (int i = 0; i < MAX_QUEUED_CONNECTIONS; i++) {
                Socket connection = new Socket();
                queuedConnections.add(connection);
                connection.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
            }
            throw new IOException("the accept queue is not full after " + MAX_QUEUED_CONNECTIONS + " connections");
        } catch (java.net.SocketTimeoutException e) {
            // The last one was not established: the queue is full.
            queuedConnections.get(queuedConnections.size() - 1).close();
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String hostAndPort() {
        InetSocketAddress address = address();
        return address.getHostString() + ":" + address.getPort();
    }

    /** Waits until a client is connecting to this listener. */
    void awaitConnectionAttempt() throws IOException {
        String port = String.format(":%04X", listener.getLocalPort());
        while (connectionAttempts("/proc/net/tcp", port) + connectionAttempts("/proc/net/tcp6", port) == 0) {
            Thread.onSpinWait();
        }
    }

    private static long connectionAttempts(String table, String port) throws IOException {
        return Files.readAllLines(Path.of(table)).stream()
                .map(line -> line.strip().split("\\s+"))
                .filter(fields -> fields[TCP_REMOTE_ADDRESS].endsWith(port) && fields[TCP_STATE].equals(SYN_SENT))
                .count();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : queuedConnections) {
            connection.close();
        }
    }
}
