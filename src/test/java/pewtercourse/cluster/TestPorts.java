package pewtercourse.cluster;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Ports for processes that are started later. */
final class TestPorts {
    // Below those that the system gives out by itself.
    private static final int FROM = 12_000;
    private static final int TO = 32_000;
    private static final int ATTEMPTS = 1_000;
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();
    private static final SecureRandom RANDOM = new SecureRandom();

    private TestPorts() {}

    /**
     * A port that nobody uses, and nobody is given by the system either: one that was drawn by binding 0 may be given to a
     * connection, or a relay, before the process that is to listen on it starts.
     */
    static int unused() throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int port = FROM + RANDOM.nextInt(TO - FROM);
            if (GIVEN.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ClusterProcesses.HOST))) {
                    return socket.getLocalPort();
                } catch (BindException e) {
                    continue;
                }
            }
        }
        throw new IOException("no free port from " + FROM + " to " + TO);
    }
}
