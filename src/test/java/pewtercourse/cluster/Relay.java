package pewtercourse.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Relays a link between two processes by forwarding the connections of its port to another port. The link can
 * be cut (bytes are dropped silently in one or both directions), delayed, slowed down or reset.
 */
final class Relay {
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final Vertx vertx;
    private final int targetPort;
    private final NetServer server;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean forwardCut;
    private volatile boolean backwardCut;
    private volatile long delayMs;
    private volatile int bytesPerMs = UNLIMITED;

    Relay(Vertx vertx, int targetPort) throws Exception {
        this.vertx = vertx;
        this.targetPort = targetPort;
        server = vertx.createNetServer(
                new NetServerOptions().setHost(ClusterProcesses.HOST).setPort(0));
        server.connectHandler(this::accept);
        server.listen().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    int port() {
        return server.actualPort();
    }

    private void accept(NetSocket source) {
        sockets.add(source);
        source.pause();
        vertx.createNetClient()
                .connect(SocketAddress.inetSocketAddress(targetPort, ClusterProcesses.HOST))
                .onComplete(connected -> {
                    if (connected.failed()) {
                        sockets.remove(source);
                        source.close();
                        return;
                    }
                    NetSocket destination = connected.result();
                    sockets.add(destination);
                    pipe(source, destination, false);
                    pipe(destination, source, true);
                    source.resume();
                });
    }

    private boolean isCut(boolean backward) {
        return backward ? backwardCut : forwardCut;
    }

    private void pipe(NetSocket source, NetSocket destination, boolean backward) {
        source.exceptionHandler(e -> {});
        source.closeHandler(v -> {
            sockets.remove(source);
            if (!isCut(backward)) {
                destination.close();
            }
        });
        source.handler(buffer -> {
            if (!isCut(backward)) { // Otherwise the bytes are dropped silently.
                forward(buffer, destination);
            }
        });
    }

    private void forward(Buffer buffer, NetSocket destination) {
        int pieceLength = bytesPerMs;
        long waitMs = delayMs;
        for (int offset = 0;
                offset < buffer.length();
                offset = (int) Math.min(buffer.length(), (long) offset + pieceLength)) {
            Buffer piece = buffer.getBuffer(offset, (int) Math.min(buffer.length(), (long) offset + pieceLength));
            if (waitMs == 0) {
                destination.write(piece);
            } else {
                vertx.setTimer(waitMs, timer -> destination.write(piece));
            }
            waitMs++; // One piece per millisecond.
        }
    }

    /**
     * Drops bytes in the given directions. Restoring both directions resets the connections, as their streams lack
     * bytes.
     */
    void cut(boolean forward, boolean backward) {
        forwardCut = forward;
        backwardCut = backward;
        if (!forward && !backward) {
            reset();
        }
    }

    void delay(long milliseconds) {
        delayMs = milliseconds;
    }

    /** Limits the rate to one piece of {@code pieceBytes} bytes per millisecond. */
    void slow(int pieceBytes) {
        bytesPerMs = pieceBytes;
    }

    void reset() {
        sockets.forEach(NetSocket::close);
        sockets.clear();
    }

    /** Removes all faults and resets the connections. */
    void heal() {
        delayMs = 0;
        bytesPerMs = UNLIMITED;
        cut(false, false);
    }
}
