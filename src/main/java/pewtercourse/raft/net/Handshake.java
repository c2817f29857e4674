package pewtercourse.raft.net;

import java.util.function.Predicate;
import pewtercourse.raft.wire.Wire;

/**
 * The first message of each connection, by which the member that dials says who it is and whom it wants to reach.
 *
 * @param cluster the cluster of this member
 * @param member this member's name
 * @param incarnation that of this member's data folder
 * @param knownMember whether a member of this name is known
 */
record Handshake(String cluster, String member, long incarnation, Predicate<String> knownMember) {
    private static final int PROTOCOL_VERSION = 1;

    /** Who has dialled, and the incarnation of its data folder. */
    record Remote(String member, long incarnation) {}

    /** A first message that does not make the remote end a member with which this one talks. */
    static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;

        RejectedException(String reason) {
            super(reason);
        }
    }

    /** The message with which this member begins a connection to another. */
    Wire.Frame hello(String to) {
        return Wire.Frame.newBuilder()
                .setHello(Wire.Hello.newBuilder()
                        .setVersion(PROTOCOL_VERSION)
                        .setCluster(cluster)
                        .setFrom(member)
                        .setTo(to)
                        .setIncarnation(incarnation))
                .build();
    }

    /** Checks the first message of a connection that another member has opened. */
    Remote accept(Wire.Frame first) throws RejectedException {
        if (!first.hasHello()) {
            throw new RejectedException("no hello");
        }
        Wire.Hello hello = first.getHello();
        if (hello.getVersion() != PROTOCOL_VERSION) {
            throw new RejectedException("version " + hello.getVersion());
        }
        if (!hello.getCluster().equals(cluster)) {
            throw new RejectedException("another cluster");
        }
        if (!hello.getTo().equals(member)) {
            throw new RejectedException("meant for another member");
        }
        if (!knownMember.test(hello.getFrom())) {
            throw new RejectedException("unknown name");
        }
        return new Remote(hello.getFrom(), hello.getIncarnation());
    }
}
