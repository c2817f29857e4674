package pewtercourse.cluster;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Finds ports for processes that are started later. */
final class TestPorts {
    // Below the ephemeral ports of the system.
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;
    private static final int ATTEMPTS = 1_000;
    private static final Set<Integer> ASSIGNED_PORTS = ConcurrentHashMap.newKeySet();
    private static final SecureRandom RANDOM = new SecureRandom();

    private TestPorts() {}

    /**
     * Returns an unused port outside the ephemeral range. The system could assign a port found by binding port 0 to a
     * connection or a relay before the process starts to listen on it.
     */
    static int unused() throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int port = MIN_PORT + RANDOM.nextInt(MAX_PORT - MIN_PORT);
            if (ASSIGNED_PORTS.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ClusterProcesses.HOST))) {
                    return socket.getLocalPort();
                } catch (BindException e) {
                    continue;
                }
            }
        }
        throw new IOException("no free port from " + MIN_PORT + " to " + MAX_PORT);
    }
}
