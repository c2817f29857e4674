package pewtercourse.raft.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import pewtercourse.raft.wire.Wire;

class HandshakeTest {
    private static final Handshake DIALLING = new Handshake("cluster-1", "member-a", 7, name -> true);
    private static final Handshake ACCEPTING = new Handshake("cluster-1", "member-b", 8, "member-a"::equals);

    private static void assertRejected(String reason, Handshake accepting, Wire.Frame first) {
        Handshake.RejectedException rejected =
                assertThrows(Handshake.RejectedException.class, () -> accepting.accept(first));
        assertEquals(reason, rejected.getMessage());
    }

    @Test
    void aMemberOfTheClusterIsAccepted() throws Exception {
        assertEquals(new Handshake.Remote("member-a", 7), ACCEPTING.accept(DIALLING.hello("member-b")));
    }

    @Test
    void aHelloToAnotherMemberIsRejected() {
        assertRejected("hello addressed to another member", ACCEPTING, DIALLING.hello("member-c"));
    }

    @Test
    void aHelloOfAnotherClusterIsRejected() {
        Handshake dialling = new Handshake("cluster-2", "member-a", 7, name -> true);
        assertRejected("hello from another cluster", ACCEPTING, dialling.hello("member-b"));
    }

    @Test
    void aHelloOfAnUnknownMemberIsRejected() {
        Handshake dialling = new Handshake("cluster-1", "member-d", 7, name -> true);
        assertRejected("hello from an unknown member", ACCEPTING, dialling.hello("member-b"));
    }

    @Test
    void aHelloOfAnotherVersionIsRejected() {
        Wire.Hello hello =
                DIALLING.hello("member-b").getHello().toBuilder().setVersion(2).build();
        assertRejected(
                "protocol version 2 instead of 1", ACCEPTING, Wire.Frame.newBuilder().setHello(hello).build());
    }

    @Test
    void anotherFirstMessageIsRejected() {
        Wire.Frame message = Wire.Frame.newBuilder()
                .setTimeoutNow(Wire.TimeoutNow.newBuilder().setTerm(1))
                .build();
        assertRejected("first message is not a hello", ACCEPTING, message);
    }
}
