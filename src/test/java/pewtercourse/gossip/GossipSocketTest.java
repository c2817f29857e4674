package pewtercourse.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GossipSocketTest {
    private static final String HOST = "127.0.0.1";
    private static final int PEERS = 200;
    private static final int TIMEOUT_SECONDS = 20;

    private record Received(int peer, byte[] message) {}

    @Test
    void identifiesSendersByListIndexAndDropsUnknownSendersAndLongMessages() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            DatagramSocket unknownSender = open(vertx);
            DatagramSocket lastPeer = open(vertx);
            DatagramSocket firstPeer = open(vertx);
            int port = freePort();
            BlockingQueue<Received> received = new LinkedBlockingQueue<>();
            GossipSocket socket = new GossipSocket(
                    vertx,
                    peers(firstPeer, lastPeer),
                    false,
                    (peer, message) -> received.add(new Received(peer, message)));
            await(socket.listen(new InetSocketAddress(HOST, port)));

            send(unknownSender, port, new byte[] {9});
            send(lastPeer, port, new byte[GossipSocket.MAX_MESSAGE_BYTES + 1]);
            send(lastPeer, port, new byte[] {1, 2});
            send(firstPeer, port, new byte[] {3});

            Received first = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertEquals(PEERS - 1, first.peer());
            assertArrayEquals(new byte[] {1, 2}, first.message());
            assertEquals(0, received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).peer());
            assertEquals(0, received.size());
        } finally {
            await(vertx.close());
        }
    }

    private static List<InetSocketAddress> peers(DatagramSocket first, DatagramSocket last) {
        List<InetSocketAddress> peers = new ArrayList<>();
        peers.add(address(first));
        for (int i = 1; i < PEERS - 1; i++) {
            peers.add(new InetSocketAddress("127.0.1." + i, 7946));
        }
        peers.add(address(last));
        return peers;
    }

    // A JDK socket releases its port immediately; a Vert.x socket does so only after the next turn of its selector.
    private static int freePort() throws IOException {
        try (java.net.DatagramSocket free = new java.net.DatagramSocket(0, InetAddress.getByName(HOST))) {
            return free.getLocalPort();
        }
    }

    private static DatagramSocket open(Vertx vertx) throws Exception {
        return await(vertx.createDatagramSocket().listen(0, HOST));
    }

    private static InetSocketAddress address(DatagramSocket socket) {
        return new InetSocketAddress(HOST, socket.localAddress().port());
    }

    private static void send(DatagramSocket from, int port, byte[] message) throws Exception {
        await(from.send(Buffer.buffer(message), port, HOST));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
