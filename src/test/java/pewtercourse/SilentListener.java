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

/** Listens and never accepts, with its queue full from the start: connections to it never come up. */
public final class SilentListener implements Closeable {
    // Of a line of the system's table of connections.
    private static final int REMOTE = 2, STATE = 3;
    private static final String SYN_SENT = "02";
    private static final int FILLERS = 8, FILL_MS = 200;

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    public SilentListener(String host) throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName(host));
        try {
            for (int i = 0; i < FILLERS; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                filler.connect(listener.getLocalSocketAddress(), FILL_MS);
            }
            throw new IOException("its queue never fills");
        } catch (java.net.SocketTimeoutException e) {
            fillers.get(fillers.size() - 1).close(); // That one did not come up: nothing more does.
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String dial() {
        InetSocketAddress at = address();
        return at.getHostString() + ":" + at.getPort();
    }

    /** Waits until somebody is connecting to it. */
    void awaitDial() throws IOException {
        String port = String.format(":%04X", listener.getLocalPort());
        while (dialling("/proc/net/tcp", port) + dialling("/proc/net/tcp6", port) == 0) {
            Thread.onSpinWait();
        }
    }

    private static long dialling(String table, String port) throws IOException {
        return Files.readAllLines(Path.of(table)).stream()
                .map(line -> line.strip().split("\\s+"))
                .filter(fields -> fields[REMOTE].endsWith(port) && fields[STATE].equals(SYN_SENT))
                .count();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
