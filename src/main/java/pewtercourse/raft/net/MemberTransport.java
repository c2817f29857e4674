package pewtercourse.raft.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.raft.wire.Wire;

/**
 * Sends messages to the other members and receives theirs. Two members are linked by two connections, one for the
 * messages of each direction, so that one direction can fail without the other. All methods have to be called on the
 * event loop, which also calls the {@link Receiver}.
 */
public final class MemberTransport {
    private static final int MAX_PENDING_HANDSHAKES = 32;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Handles the messages of other members. */
    public interface Receiver {
        /** Handles a message of the member {@code from}; {@code incarnation} is that of its data folder. */
        void receive(String from, long incarnation, Wire.Frame message);
    }

    private final Handshake handshake;
    private final Timers timers;
    private final Random random;
    private final Function<String, SocketAddress> addresses;
    private final Receiver receiver;
    private final NetServer server;
    private final NetClient client;
    private final Map<String, OutboundConnection> outbound = new TreeMap<>(); // By the name of the other member.
    private final Set<NetSocket> pendingHandshakes = new HashSet<>();

    /**
     * Creates the transport. A connection to another member is opened with the first message to it.
     *
     * @param member the name of this member
     * @param incarnation the incarnation of this member's data folder
     * @param random draws the jitter of reconnection delays
     * @param addresses returns the address of a member, or null if the member is unknown
     */
    public MemberTransport(
            Vertx vertx,
            String cluster,
            String member,
            long incarnation,
            Random random,
            Function<String, SocketAddress> addresses,
            Receiver receiver) {
        this.handshake = new Handshake(cluster, member, incarnation, name -> addresses.apply(name) != null);
        this.random = random;
        this.addresses = addresses;
        this.receiver = receiver;
        this.timers = Timers.of(vertx);
        this.server =
                vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true));
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
        server.connectHandler(this::accept);
        server.exceptionHandler(e -> Log.counted("cluster.accept_error", "error", e));
    }

    /** Accepts connections of other members at this address; the future fails if the address can't be bound. */
    public Future<NetServer> listen(SocketAddress address) {
        return server.listen(address);
    }

    /** Sends a message to a member, or queues it until the member is connected. The message may be lost. */
    public void send(String receiver, Wire.Frame message) {
        outbound.computeIfAbsent(receiver, this::createConnection).send(message);
    }

    /** The number of messages that were dropped because their queue was full. */
    public long droppedFrames() {
        return outbound.values().stream()
                .mapToLong(OutboundConnection::droppedFrames)
                .sum();
    }

    private OutboundConnection createConnection(String member) {
        return new OutboundConnection(client, timers, random, () -> addresses.apply(member), handshake.hello(member));
    }

    private void accept(NetSocket socket) {
        if (pendingHandshakes.size() >= MAX_PENDING_HANDSHAKES) {
            Log.counted("cluster.full", "from", socket.remoteAddress());
            socket.close();
            return;
        }
        pendingHandshakes.add(socket);
        new InboundConnection(socket, timers, handshake, receiver, () -> pendingHandshakes.remove(socket));
    }

    /** Closes all connections and stops listening; the future completes when this is done. */
    public Future<Void> close() {
        outbound.values().forEach(OutboundConnection::close);
        return server.close().eventually(client::close);
    }
}
