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
 * The connections of this member with the others: one in each direction between two members, each carrying messages one
 * way, so that one direction can fail without the other. All calls come from the event loop, and so do those to the
 * {@link Receiver}.
 */
public final class MemberTransport {
    private static final int MAX_PENDING_HANDSHAKES = 32;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Takes the messages that other members send. */
    public interface Receiver {
        /** Takes a message of the member {@code from}, whose data folder has this incarnation. */
        void receive(String from, long incarnation, Wire.Frame message);
    }

    private final Handshake handshake;
    private final Timers timers;
    private final Random random;
    private final Function<String, SocketAddress> addresses;
    private final Receiver receiver;
    private final NetServer server;
    private final NetClient client;
    private final Map<String, OutboundConnection> outbound = new TreeMap<>(); // By the other member's name.
    private final Set<NetSocket> pendingHandshakes = new HashSet<>();

    /**
     * Opens nothing yet: connections to others are opened when there is something to send.
     *
     * @param member the name of this member
     * @param incarnation that of this member's data folder
     * @param addresses where a member is reached, or null for one that is unknown
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

    /** Accepts connections of other members at this address; fails if it can't be bound. */
    public Future<NetServer> listen(SocketAddress address) {
        return server.listen(address);
    }

    /** Sends a message to a member, or queues it until the member is reached. It may be lost. */
    public void send(String to, Wire.Frame message) {
        outbound.computeIfAbsent(to, this::connectionTo).send(message);
    }

    /** Messages that were dropped because a member was not reached in time. */
    public long droppedFrames() {
        return outbound.values().stream()
                .mapToLong(OutboundConnection::droppedFrames)
                .sum();
    }

    private OutboundConnection connectionTo(String member) {
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

    /** Closes all connections and stops listening; done once that has happened. */
    public Future<Void> close() {
        outbound.values().forEach(OutboundConnection::close);
        return server.close().eventually(client::close);
    }
}
