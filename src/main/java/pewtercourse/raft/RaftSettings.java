package pewtercourse.raft;

/**
 * Times in microseconds. {@code electionFrom} to {@code electionTo}: how long a member waits for its leader, drawn anew
 * each time. {@code batchBytes}, {@code batchEntries}: of one message; {@code inFlight}: messages out at one member
 * before its answer; {@code uncommittedMost}: entries a leader takes in before it says it is busy; {@code partBytes}: of
 * a snapshot; {@code snapshotMost}: the largest one that is taken; {@code trailing}: entries kept behind a snapshot
 * for members that are a little late.
 */
public record RaftSettings(
        long heartbeat,
        long electionFrom,
        long electionTo,
        int batchBytes,
        int batchEntries,
        int inFlight,
        int uncommittedMost,
        int partBytes,
        long snapshotMost,
        int trailing) {
    public static RaftSettings of(long heartbeat, long electionFrom, long electionTo) {
        return new RaftSettings(
                heartbeat, electionFrom, electionTo, 128 << 10, 256, 4, 4_096, 64 << 10, 64L << 20, 512);
    }
}
