package pewtercourse.raft.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pewtercourse.Fixtures;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Message;
import pewtercourse.raft.wire.Wire;

/**
 * Compares each message between members with a stored frame of an earlier version: the frame is decoded to the same
 * content, and the message is encoded to the same bytes.
 */
class MemberMessageCompatibilityTest {
    private static final String FOLDER = "member-messages/";
    private static final String HELLO = FOLDER + "hello.bin";
    private static final String CLUSTER = "cluster-1";
    private static final String SENDER = "member-a";
    private static final String RECEIVER = "member-b";
    private static final long INCARNATION = 0x1122334455667788L;
    private static final int TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Membership members() {
        return new Membership(Map.of(
                "member-a", new Membership.Member("127.0.0.1:7001", 1, true),
                "member-b", new Membership.Member("127.0.0.1:7002", -5, true),
                "member-c", new Membership.Member("", 1L << 62, false)));
    }

    /** The messages of the Raft protocol by file name; together they set every field. */
    private static Map<String, Message> messages() {
        List<Entry> entries = List.of(
                new Entry(101, 11, Entry.Kind.EMPTY, new byte[0], null),
                Entry.command(102, 12, bytes("command")),
                Entry.members(103, 13, members()));
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("vote-request", new Message.VoteRequest(21, 22, 23, true, false));
        messages.put("vote-request-of-transfer", new Message.VoteRequest(24, 25, 26, false, true));
        messages.put("vote-reply", new Message.VoteReply(31, true, false, false));
        messages.put("vote-reply-of-pre-vote", new Message.VoteReply(32, false, true, false));
        messages.put("vote-reply-to-non-member", new Message.VoteReply(33, false, false, true));
        messages.put("append", new Message.AppendRequest(41, 42, 43, entries, 44, 45));
        messages.put("append-reply", new Message.AppendReply(51, true, 52, 53));
        messages.put("install", new Message.SnapshotChunk(61, 62, 63, members(), 64, bytes("part"), 65, 66));
        messages.put("install-reply", new Message.SnapshotReply(71, 72, 73, 1L << 40));
        messages.put("timeout-now", new Message.TimeoutNow(81));
        return messages;
    }

    /** A command that is forwarded to the leader, and its reply, which this version does not send. */
    private static Map<String, Wire.Frame> calls() {
        Map<String, Wire.Frame> calls = new LinkedHashMap<>();
        calls.put(
                "call",
                Wire.Frame.newBuilder()
                        .setCall(Wire.Call.newBuilder().setId(91).setCommand(ByteString.copyFromUtf8("call")))
                        .build());
        calls.put(
                "call-reply",
                Wire.Frame.newBuilder()
                        .setCallReply(Wire.CallReply.newBuilder()
                                .setId(92)
                                .setStatus(93)
                                .setIndex(94))
                        .build());
        return calls;
    }

    private static Map<String, Wire.Frame> frames() {
        Map<String, Wire.Frame> frames = new LinkedHashMap<>();
        messages().forEach((name, message) -> frames.put(name, Codec.encode(message)));
        frames.putAll(calls());
        return frames;
    }

    private static String file(String name) {
        return FOLDER + name + ".bin";
    }

    private static Wire.Frame read(String file) throws Exception {
        List<Wire.Frame> frames = new FrameCodec().decode(Buffer.buffer(Fixtures.bytes(file)));
        assertEquals(1, frames.size(), file);
        return frames.get(0);
    }

    @Test
    void encodesEachMessageToTheStoredBytes() throws Exception {
        for (Map.Entry<String, Wire.Frame> frame : frames().entrySet()) {
            Fixtures.assertFile(
                    file(frame.getKey()), FrameCodec.encode(frame.getValue()).getBytes());
        }
    }

    @Test
    void decodesEachStoredMessage() throws Exception {
        Set<Class<?>> decodedTypes = new HashSet<>();
        for (Map.Entry<String, Message> message : messages().entrySet()) {
            Message decoded = Codec.decode(read(file(message.getKey()))).orElseThrow();
            Fixtures.assertSameContent(message.getValue(), decoded);
            decodedTypes.add(decoded.getClass());
        }
        assertEquals(Fixtures.recordTypes(Message.class), decodedTypes);
        for (Map.Entry<String, Wire.Frame> call : calls().entrySet()) {
            assertEquals(call.getValue(), read(file(call.getKey())));
            assertTrue(Codec.decode(call.getValue()).isEmpty(), "not a message of the Raft protocol");
        }
    }

    @Test
    void storedMessagesSetEveryField() throws Exception {
        List<Wire.Frame> frames = new ArrayList<>();
        for (String name : Fixtures.files(Fixtures.path(FOLDER)).keySet()) {
            frames.add(read(FOLDER + name));
        }
        assertEquals(frames().size() + 1, frames.size(), "all messages and the hello");
        assertEquals(Set.of(), Fixtures.fieldsNeverSet(frames));
    }

    @Test
    void sendsTheHelloAndThenTheStoredBytes() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(TIMEOUT_MS);
            SocketAddress address = SocketAddress.inetSocketAddress(server.getLocalPort(), "127.0.0.1");
            MemberTransport transport = new MemberTransport(
                    vertx,
                    CLUSTER,
                    SENDER,
                    INCARNATION,
                    new Random(1),
                    name -> address,
                    (from, incarnation, frame) -> {});
            vertx.runOnContext(v -> frames().values().forEach(frame -> transport.send(RECEIVER, frame)));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(TIMEOUT_MS);
                DataInputStream input = new DataInputStream(socket.getInputStream());
                Fixtures.assertFile(HELLO, readFrame(input));
                for (String name : frames().keySet()) {
                    assertArrayEquals(Fixtures.bytes(file(name)), readFrame(input), name);
                }
            }
        }
    }

    /** Reads the next frame of a connection; the result includes its length of four bytes. */
    private static byte[] readFrame(DataInputStream input) throws IOException {
        int length = input.readInt();
        byte[] content = input.readNBytes(length);
        return ByteBuffer.allocate(4 + content.length)
                .putInt(length)
                .put(content)
                .array();
    }

    private record Received(String from, long incarnation, Wire.Frame frame) {}

    @Test
    void readsAndAcknowledgesTheMessagesAfterAHello() throws Exception {
        BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        MemberTransport transport = new MemberTransport(
                vertx,
                CLUSTER,
                RECEIVER,
                INCARNATION + 1,
                new Random(1),
                name -> name.equals(SENDER) ? SocketAddress.inetSocketAddress(1, "127.0.0.1") : null,
                (from, incarnation, frame) -> received.add(new Received(from, incarnation, frame)));
        NetServer server = transport
                .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        sent.writeBytes(Fixtures.bytes(HELLO));
        for (String name : frames().keySet()) {
            sent.writeBytes(Fixtures.bytes(file(name)));
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            sent.writeTo(socket.getOutputStream());
            assertEquals(1, socket.getInputStream().read(), "the acknowledgement");
            for (Wire.Frame frame : frames().values()) {
                assertEquals(
                        new Received(SENDER, INCARNATION, frame), received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
        }
    }
}
