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
import pewtercourse.eventloop.TcpSendQueues;
import pewtercourse.front.Drain;
import pewtercourse.front.ReadDelays;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.RequestBytes;

/** Accepts the connections of the web servers on one address. Used on the event loop. */
public final class FastCgiServer {
    // Bounds what must be read to learn whether a client has left: its end stands behind its last bytes.
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    private final NetServer server;
    private final Timers timers;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final ConnectionTable table;
    private final HeldBytes held;
    private final ReadDelays delays = new ReadDelays();
    private final TcpSendQueues sendQueues;
    private final RequestBytes requestBytes;
    private final InputShare share = new InputShare();
    private long nextStageTimer = -1;
    private int socketCount;

    /** Creates a server with this maximum of connections; {@code clock} counts microseconds. */
    public FastCgiServer(Vertx vertx, RequestHandler handler, LongSupplier clock, int maxConnections, HeldBytes held) {
        this.timers = Timers.of(vertx);
        this.handler = handler;
        this.clock = clock;
        this.table = new ConnectionTable(maxConnections);
        this.held = held;
        this.requestBytes = new RequestBytes(held);
        this.sendQueues = new TcpSendQueues(clock, TcpSendQueues.newReader());
        server = vertx.createNetServer(new NetServerOptions()
                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                .setTcpNoDelay(true)
                .setAcceptBacklog(512)
                .setReuseAddress(true));
        server.connectHandler(this::accept);
        server.exceptionHandler(e -> Log.counted("front.accept_error", "error", e));
    }

    private void accept(NetSocket socket) {
        socketCount++;
        if (table.admit(clock.getAsLong())) {
            new FastCgiConnection(
                    socket,
                    handler,
                    clock,
                    timers,
                    table,
                    held,
                    delays,
                    sendQueues,
                    requestBytes,
                    share,
                    () -> socketCount--);
        } else {
            socket.closeHandler(v -> socketCount--);
            socket.close();
        }
    }

    /** Applies the drain to the kept connections now and at each of its further stages; called when it begins or ends. */
    public void drain(Drain drain) {
        timers.cancel(nextStageTimer);
        long nowMicros = clock.getAsLong();
        table.setDrainStage(drain.stageAt(nowMicros));
        long nextMs = drain.millisUntilNextStage(nowMicros);
        nextStageTimer = nextMs < 0 ? -1 : timers.set(nextMs, () -> drain(drain));
    }

    /** The number of open sockets, with those that only wait until the client has read the last bytes. */
    public int connections() {
        return socketCount;
    }

    /** Whether a client still reads answers that were written or wait to be written. */
    public boolean isDelivering() {
        return table.isDelivering();
    }

    /** How long requests may have waited before they were read. */
    public ReadDelays delays() {
        return delays;
    }

    /** Stops listening and closes all connections. */
    public Future<Void> close() {
        return server.close();
    }

    /** Starts listening. */
    public Future<NetServer> listen(SocketAddress address) {
        return server.listen(address);
    }
}
