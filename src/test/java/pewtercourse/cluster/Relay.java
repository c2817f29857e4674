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
 * One link between two processes: what comes to its port goes on to another. It can be cut (nothing is carried and nobody
 * is told, in one direction or both), delayed, reset, or pass bytes slowly.
 */
final class Relay {
    static final String HOST = "127.0.0.1";

    private final Vertx vertx;
    private final int to;
    private final NetServer server;
    private final Set<NetSocket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cutThere, cutBack;
    private volatile long delayMs;
    private volatile int pieces = Integer.MAX_VALUE;

    Relay(Vertx vertx, int to) throws Exception {
        this.vertx = vertx;
        this.to = to;
        server = vertx.createNetServer(new NetServerOptions().setHost(HOST).setPort(0));
        server.connectHandler(this::accept);
        server.listen().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    int port() {
        return server.actualPort();
    }

    private void accept(NetSocket from) {
        open.add(from);
        from.pause();
        vertx.createNetClient()
                .connect(SocketAddress.inetSocketAddress(to, HOST))
                .onComplete(c -> {
                    if (c.failed()) {
                        open.remove(from);
                        from.close();
                        return;
                    }
                    NetSocket on = c.result();
                    open.add(on);
                    pipe(from, on, false);
                    pipe(on, from, true);
                    from.resume();
                });
    }

    private void pipe(NetSocket from, NetSocket on, boolean back) {
        from.exceptionHandler(e -> {});
        from.closeHandler(v -> {
            open.remove(from);
            if (!(back ? cutBack : cutThere)) {
                on.close();
            }
        });
        from.handler(b -> {
            if (back ? cutBack : cutThere) {
                return; // Lost, and nobody is told.
            }
            for (int at = 0, n = 0; at < b.length(); at += pieces, n++) {
                Buffer piece = b.getBuffer(at, (int) Math.min(b.length(), (long) at + pieces));
                long wait = delayMs + n; // A piece a millisecond.
                if (wait == 0) {
                    on.write(piece);
                } else {
                    vertx.setTimer(wait, t -> on.write(piece));
                }
                if (pieces == Integer.MAX_VALUE) {
                    break;
                }
            }
        });
    }

    /** Bytes are lost on the way there, or back, or both; what has been lost breaks the stream once it is mended. */
    void cut(boolean there, boolean back) {
        cutThere = there;
        cutBack = back;
        if (!there && !back) {
            reset();
        }
    }

    void delay(long ms) {
        delayMs = ms;
    }

    /** So many bytes at a time, one such piece a millisecond. */
    void slow(int bytes) {
        pieces = bytes;
    }

    void reset() {
        open.forEach(NetSocket::close);
        open.clear();
    }

    void mend() {
        delayMs = 0;
        pieces = Integer.MAX_VALUE;
        cut(false, false);
    }
}
