package pewtercourse.raft.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import pewtercourse.raft.wire.Wire;

class HandshakeTest {
    private static final Handshake INITIATOR = new Handshake("cluster-1", "member-a", 7, name -> true);
    private static final Handshake ACCEPTOR = new Handshake("cluster-1", "member-b", 8, "member-a"::equals);

    private static void assertRejected(String reason, Handshake acceptor, Wire.Frame first) {
        Handshake.RejectedException rejected =
                assertThrows(Handshake.RejectedException.class, () -> acceptor.accept(first));
        assertEquals(reason, rejected.getMessage());
    }

    @Test
    void acceptsTheHelloOfAKnownMemberOfTheCluster() throws Exception {
        assertEquals(new Handshake.Remote("member-a", 7), ACCEPTOR.accept(INITIATOR.hello("member-b")));
    }

    @Test
    void rejectsAHelloAddressedToAnotherMember() {
        assertRejected("hello addressed to another member", ACCEPTOR, INITIATOR.hello("member-c"));
    }

    @Test
    void rejectsAHelloFromAnotherCluster() {
        Handshake initiator = new Handshake("cluster-2", "member-a", 7, name -> true);
        assertRejected("hello from another cluster", ACCEPTOR, initiator.hello("member-b"));
    }

    @Test
    void rejectsAHelloFromAnUnknownMember() {
        Handshake initiator = new Handshake("cluster-1", "member-d", 7, name -> true);
        assertRejected("hello from an unknown member", ACCEPTOR, initiator.hello("member-b"));
    }

    @Test
    void rejectsAHelloOfAnotherProtocolVersion() {
        Wire.Hello hello =
                INITIATOR.hello("member-b").getHello().toBuilder().setVersion(2).build();
        assertRejected(
                "protocol version 2 instead of 1",
                ACCEPTOR,
                Wire.Frame.newBuilder().setHello(hello).build());
    }

    @Test
    void rejectsAFirstMessageThatIsNotAHello() {
        Wire.Frame message = Wire.Frame.newBuilder()
                .setTimeoutNow(Wire.TimeoutNow.newBuilder().setTerm(1))
                .build();
        assertRejected("first message is not a hello", ACCEPTOR, message);
    }
}
