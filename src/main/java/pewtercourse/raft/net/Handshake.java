package pewtercourse.raft.net;

import java.util.function.Predicate;
import pewtercourse.raft.wire.Wire;

/**
 * Creates and checks the hello, the first message of each connection: it names the member that has opened the
 * connection and the member that it wants to reach.
 *
 * @param cluster the name of this member's cluster
 * @param member the name of this member
 * @param incarnation the incarnation of this member's data folder
 * @param isKnownMember whether a member of this name is known
 */
record Handshake(String cluster, String member, long incarnation, Predicate<String> isKnownMember) {
    private static final int PROTOCOL_VERSION = 1;

    /** The member that has opened a connection, and the incarnation of its data folder. */
    record Remote(String member, long incarnation) {}

    /** Reports a first message that is not an acceptable hello. */
    static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;

        RejectedException(String reason) {
            super(reason);
        }
    }

    /** Returns the first message of a connection to another member. */
    Wire.Frame hello(String receiver) {
        return Wire.Frame.newBuilder()
                .setHello(Wire.Hello.newBuilder()
                        .setVersion(PROTOCOL_VERSION)
                        .setCluster(cluster)
                        .setFrom(member)
                        .setTo(receiver)
                        .setIncarnation(incarnation))
                .build();
    }

    /**
     * Checks the first message of a connection that another member has opened.
     *
     * @throws RejectedException if the connection has to be closed
     */
    Remote accept(Wire.Frame first) throws RejectedException {
        if (!first.hasHello()) {
            throw new RejectedException("first message is not a hello");
        }
        Wire.Hello hello = first.getHello();
        if (hello.getVersion() != PROTOCOL_VERSION) {
            throw new RejectedException("protocol version " + hello.getVersion() + " instead of " + PROTOCOL_VERSION);
        }
        if (!hello.getCluster().equals(cluster)) {
            throw new RejectedException("hello from another cluster");
        }
        if (!hello.getTo().equals(member)) {
            throw new RejectedException("hello addressed to another member");
        }
        if (!isKnownMember.test(hello.getFrom())) {
            throw new RejectedException("hello from an unknown member");
        }
        return new Remote(hello.getFrom(), hello.getIncarnation());
    }
}
