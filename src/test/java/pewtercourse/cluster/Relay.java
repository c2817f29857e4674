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
 * One link between two processes: what comes to its port is forwarded to another. It can be cut (nothing is carried and
 * nobody is told, in one direction or both), delayed, reset, or slowed down.
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

    private void accept(NetSocket from) {
        sockets.add(from);
        from.pause();
        vertx.createNetClient()
                .connect(SocketAddress.inetSocketAddress(targetPort, ClusterProcesses.HOST))
                .onComplete(connected -> {
                    if (connected.failed()) {
                        sockets.remove(from);
                        from.close();
                        return;
                    }
                    NetSocket to = connected.result();
                    sockets.add(to);
                    pipe(from, to, false);
                    pipe(to, from, true);
                    from.resume();
                });
    }

    private boolean isCut(boolean backward) {
        return backward ? backwardCut : forwardCut;
    }

    private void pipe(NetSocket from, NetSocket to, boolean backward) {
        from.exceptionHandler(e -> {});
        from.closeHandler(v -> {
            sockets.remove(from);
            if (!isCut(backward)) {
                to.close();
            }
        });
        from.handler(buffer -> {
            if (!isCut(backward)) { // Else it is lost, and nobody is told.
                forward(buffer, to);
            }
        });
    }

    private void forward(Buffer buffer, NetSocket to) {
        int pieceLength = bytesPerMs;
        long waitMs = delayMs;
        for (int from = 0; from < buffer.length(); from = (int) Math.min(buffer.length(), (long) from + pieceLength)) {
            Buffer piece = buffer.getBuffer(from, (int) Math.min(buffer.length(), (long) from + pieceLength));
            if (waitMs == 0) {
                to.write(piece);
            } else {
                vertx.setTimer(waitMs, timer -> to.write(piece));
            }
            waitMs++; // A piece a millisecond.
        }
    }

    /** Bytes are lost forward, or backward, or both ways; what has been lost breaks the stream once the link is whole again. */
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

    /** So many bytes at a time, one such piece a millisecond. */
    void slow(int pieceBytes) {
        bytesPerMs = pieceBytes;
    }

    void reset() {
        sockets.forEach(NetSocket::close);
        sockets.clear();
    }

    /** Carries everything at once again. */
    void heal() {
        delayMs = 0;
        bytesPerMs = UNLIMITED;
        cut(false, false);
    }
}
