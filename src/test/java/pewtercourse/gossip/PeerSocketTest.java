package pewtercourse.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

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

/** Who sent a message is told by its address, wherever that stands in a long list; a stranger's is dropped. */
class PeerSocketTest {
    private record Heard(int from, byte[] bytes) {}

    @Test
    void aMessageIsItsSendersWhereverThatStandsInTheList() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            DatagramSocket stranger = open(vertx);
            DatagramSocket last = open(vertx);
            DatagramSocket first = open(vertx);
            int port = freePort();
            List<InetSocketAddress> peers = new ArrayList<>();
            peers.add(at(first));
            for (int i = 1; i < 199; i++) {
                peers.add(new InetSocketAddress("127.0.1." + i, 7946));
            }
            peers.add(at(last));
            BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
            PeerSocket socket = new PeerSocket(vertx, peers, false, (from, bytes) -> heard.add(new Heard(from, bytes)));
            await(socket.listen(new InetSocketAddress("127.0.0.1", port)));
            send(stranger, port, new byte[] {9});
            send(last, port, new byte[PeerSocket.MESSAGE_MOST + 1]);
            send(last, port, new byte[] {1, 2});
            send(first, port, new byte[] {3});
            Heard one = heard.poll(20, TimeUnit.SECONDS);
            assertEquals(199, one.from());
            assertArrayEquals(new byte[] {1, 2}, one.bytes());
            assertEquals(0, heard.poll(20, TimeUnit.SECONDS).from());
            assertEquals(0, heard.size());
        } finally {
            await(vertx.close());
        }
    }

    // By a socket of the JDK, which gives its port back at once: the library's does so when its selector has turned
    // once more.
    private static int freePort() throws IOException {
        try (java.net.DatagramSocket free = new java.net.DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    private static DatagramSocket open(Vertx vertx) throws Exception {
        return await(vertx.createDatagramSocket().listen(0, "127.0.0.1"));
    }

    private static InetSocketAddress at(DatagramSocket s) {
        return new InetSocketAddress("127.0.0.1", s.localAddress().port());
    }

    private static void send(DatagramSocket from, int port, byte[] bytes) throws Exception {
        await(from.send(Buffer.buffer(bytes), port, "127.0.0.1"));
    }

    private static <T> T await(io.vertx.core.Future<T> f) throws Exception {
        return f.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
