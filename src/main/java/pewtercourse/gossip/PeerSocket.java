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
import java.util.function.BiConsumer;
import pewtercourse.Log;

/** Short messages between directors: they come late or never, and only from addresses in the list of peers. */
public final class PeerSocket {
    public static final int MESSAGE_MOST = 256;

    private final DatagramSocket socket;
    private final List<InetSocketAddress> peers;
    private final Map<String, Integer> numbers = new HashMap<>(); // By address: a message costs the same in any fleet.
    private final BiConsumer<Integer, byte[]> handler;

    /** {@code shared}: two processes may hold the address for a while; messages reach the one that came last. */
    public PeerSocket(Vertx vertx, List<InetSocketAddress> peers, boolean shared, BiConsumer<Integer, byte[]> handler) {
        this.socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReuseAddress(shared));
        this.peers = peers;
        this.handler = handler;
        for (int i = 0; i < peers.size(); i++) {
            numbers.putIfAbsent(
                    key(peers.get(i).getAddress().getHostAddress(), peers.get(i).getPort()), i);
        }
    }

    private static String key(String host, int port) {
        return host + ':' + port;
    }

    public Future<DatagramSocket> listen(InetSocketAddress at) {
        socket.handler(this::take);
        socket.exceptionHandler(e -> Log.counted("peer.error", "error", e));
        return socket.listen(at.getPort(), at.getAddress().getHostAddress());
    }

    public void close() {
        socket.close();
    }

    private void take(DatagramPacket packet) {
        Integer from = numbers.get(key(packet.sender().host(), packet.sender().port()));
        if (from == null) {
            Log.counted("peer.stranger", "from", packet.sender());
        } else if (packet.data().length() <= MESSAGE_MOST) {
            handler.accept(from, packet.data().getBytes());
        }
    }

    public void send(int peer, byte[] bytes) {
        if (peer < 0 || peer >= peers.size() || bytes.length > MESSAGE_MOST) {
            Log.warn("peer.unsendable", "to", peer, "bytes", bytes.length);
            return;
        }
        InetSocketAddress to = peers.get(peer);
        socket.send(Buffer.buffer(bytes), to.getPort(), to.getAddress().getHostAddress());
    }
}
