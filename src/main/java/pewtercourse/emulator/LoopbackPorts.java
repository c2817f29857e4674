package pewtercourse.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports for programs that are started on this machine. */
public final class LoopbackPorts {
    private static final String HOST = "127.0.0.1";

    private LoopbackPorts() {}

    /** A port on which nothing listens now. */
    public static int unused() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
