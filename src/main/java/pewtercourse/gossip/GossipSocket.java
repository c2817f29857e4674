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
 * Sends datagrams to the peers of this director and receives theirs; those of other senders are dropped. A peer is known by
 * its place in the list of peers, which is the same at every director. For the event loop only.
 */
public final class GossipSocket {
    /** The longest message, in bytes: longer ones are neither sent nor received. */
    public static final int MAX_MESSAGE_BYTES = 256;

    private final DatagramSocket socket;
    private final List<InetSocketAddress> peers;
    // By host and port: finding a sender costs the same in a fleet of any size.
    private final Map<String, Integer> peerNumbers = new HashMap<>();
    private final MessageHandler handler;

    /** Gets the messages that are received. */
    @FunctionalInterface
    public interface MessageHandler {
        /** {@code peer}: the sender's place in the list of peers. */
        void received(int peer, byte[] message);
    }

    /**
     * A socket that does not listen yet.
     *
     * @param shared whether two processes may hold the address for a while, as in an upgrade; messages reach the one that
     *     came last
     */
    public GossipSocket(Vertx vertx, List<InetSocketAddress> peers, boolean shared, MessageHandler handler) {
        this.socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReuseAddress(shared));
        this.peers = peers;
        this.handler = handler;
        for (int i = 0; i < peers.size(); i++) {
            InetSocketAddress peer = peers.get(i);
            peerNumbers.putIfAbsent(key(peer.getAddress().getHostAddress(), peer.getPort()), i);
        }
    }

    private static String key(String host, int port) {
        return host + ':' + port;
    }

    /** Starts to receive; the future fails if the address can't be used. */
    public Future<DatagramSocket> listen(InetSocketAddress address) {
        socket.handler(this::receive);
        socket.exceptionHandler(failure -> Log.counted("peer.error", "error", failure));
        return socket.listen(address.getPort(), address.getAddress().getHostAddress());
    }

    /** Sends and receives nothing more. */
    public void close() {
        socket.close();
    }

    private void receive(DatagramPacket packet) {
        Integer peer =
                peerNumbers.get(key(packet.sender().host(), packet.sender().port()));
        if (peer == null) {
            Log.counted("peer.stranger", "from", packet.sender());
        } else if (packet.data().length() <= MAX_MESSAGE_BYTES) {
            handler.received(peer, packet.data().getBytes());
        }
    }

    /** Sends a message to the peer at this place of the list; one that can't be sent is logged and dropped. */
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
