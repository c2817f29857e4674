package pewtercourse.raft;

import java.util.List;

/** What members tell one another. {@code term} is the sender's, but that asked for in a pre-vote. */
public sealed interface Message {
    long term();

    /** {@code pre}: only asks whether it could win. {@code transfer}: the leader wishes it, so a living one is no bar. */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean pre, boolean transfer) implements Message {}

    /** {@code stranger}: the asker is no member by what the answering one knows as agreed. */
    record VoteReply(long term, boolean granted, boolean pre, boolean stranger) implements Message {}

    /** {@code seq} counts the messages of a leader and comes back with the answer: it confirms reads. */
    record Append(long term, long prevIndex, long prevTerm, List<Entry> entries, long commit, long seq)
            implements Message {}

    /** {@code index}: when {@code ok} the last entry known to be alike, else the last one that could be. */
    record AppendReply(long term, boolean ok, long index, long seq) implements Message {}

    /** A part of a snapshot of {@code total} bytes that stands for the log up to {@code lastIndex}. */
    record Install(
            long term,
            long lastIndex,
            long lastTerm,
            Membership members,
            long offset,
            byte[] part,
            long total,
            long seq)
            implements Message {}

    /** {@code next}: the offset that is wanted next; the total when it is whole and saved. */
    record InstallReply(long term, long lastIndex, long next, long seq) implements Message {}

    /** The leader hands its office on: stand for election at once. */
    record TimeoutNow(long term) implements Message {}
}
