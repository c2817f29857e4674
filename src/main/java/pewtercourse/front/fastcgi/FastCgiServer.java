package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.front.Drain;
import pewtercourse.front.FrontLimits;
import pewtercourse.front.RequestHandler;

/** Listens for the front's connections, on one address only. */
public final class FastCgiServer {
    private final NetServer server;
    private final Timers timers;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final ConnectionTable table;
    private final FastCgiConnection.Backlog backlog;
    private long nextStep = -1;
    private int sockets;

    public FastCgiServer(Vertx vertx, RequestHandler handler, LongSupplier clock, FrontLimits limits) {
        this.timers = Timers.of(vertx);
        this.handler = handler;
        this.clock = clock;
        this.table = new ConnectionTable(limits.connections(), limits.requestBytes());
        this.backlog = new FastCgiConnection.Backlog(limits.answerBytes());
        server = vertx.createNetServer(
                new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(512).setReuseAddress(true));
        server.connectHandler(this::accept);
        server.exceptionHandler(e -> Log.counted("front.accept_error", "error", e));
    }

    private void accept(NetSocket socket) {
        sockets++;
        if (table.admit(clock.getAsLong())) {
            new FastCgiConnection(socket, handler, clock, timers, table, backlog, () -> sockets--);
        } else {
            socket.closeHandler(v -> sockets--);
            socket.close();
        }
    }

    /** The drain has begun or ended: kept connections go step by step. */
    public void drain(Drain drain) {
        timers.cancel(nextStep);
        long now = clock.getAsLong();
        table.drain(drain.step(now));
        long next = drain.nextMs(now);
        nextStep = next < 0 ? -1 : timers.set(next, () -> drain(drain));
    }

    /** Also those that only wait for their last bytes to be read. */
    public int connections() {
        return sockets;
    }

    public Future<Void> close() {
        return server.close();
    }

    public Future<NetServer> listen(SocketAddress at) {
        return server.listen(at);
    }
}
