package pewtercourse.gossip;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.Log;

/**
 * Sends datagrams to the peers of this director and receives theirs; datagrams of other senders are dropped. A peer is
 * identified by its index in the list of peers, which is the same at every director. Event loop only.
 */
public final class GossipSocket {
    /** The maximum length of a message in bytes; longer messages are neither sent nor received. */
    public static final int MAX_MESSAGE_BYTES = 256;

    private final DatagramSocket socket;
    private final List<InetSocketAddress> peers;
    // By host and port, so that the lookup of a sender takes constant time in a fleet of any size.
    private final Map<String, Integer> peerIndexes = new HashMap<>();
    private final MessageHandler handler;

    /** Handles received messages. */
    @FunctionalInterface
    public interface MessageHandler {
        /** Called for each message; {@code peer} is the sender's index in the list of peers. */
        void received(int peer, byte[] message);
    }

    /**
     * Creates a socket that does not listen yet.
     *
     * @param shared whether two processes may use the address at the same time, as during an upgrade; messages reach
     *     the process that bound it last
     */
    public GossipSocket(Vertx vertx, List<InetSocketAddress> peers, boolean shared, MessageHandler handler) {
        this.socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReuseAddress(shared));
        this.peers = peers;
        this.handler = handler;
        for (int i = 0; i < peers.size(); i++) {
            InetSocketAddress peer = peers.get(i);
            peerIndexes.putIfAbsent(key(peer.getAddress().getHostAddress(), peer.getPort()), i);
        }
    }

    private static String key(String host, int port) {
        return host + ':' + port;
    }

    /** Starts receiving; the future fails if the address can't be bound. */
    public Future<DatagramSocket> listen(InetSocketAddress address) {
        socket.handler(this::receive);
        socket.exceptionHandler(failure -> Log.counted("peer.error", "error", failure));
        return socket.listen(address.getPort(), address.getAddress().getHostAddress());
    }

    /** Stops sending and receiving. */
    public void close() {
        socket.close();
    }

    private void receive(DatagramPacket packet) {
        Integer peer =
                peerIndexes.get(key(packet.sender().host(), packet.sender().port()));
        if (peer == null) {
            Log.counted("peer.stranger", "from", packet.sender());
        } else if (packet.data().length() <= MAX_MESSAGE_BYTES) {
            handler.received(peer, packet.data().getBytes());
        }
    }

    /**
     * Sends a message to the peer with this index. A message that is too long or has an invalid index is logged and
     * dropped.
     */
    public void send(int peer, byte[] message) {
        if (peer < 0 || peer >= peers.size() || message.length > MAX_MESSAGE_BYTES) {
            Log.warn("peer.unsendable", "to", peer, "bytes", message.length);
            return;
        }
        InetSocketAddress address = peers.get(peer);
        socket.send(
                Buffer.buffer(message), address.getPort(), address.getAddress().getHostAddress());
    }
}
