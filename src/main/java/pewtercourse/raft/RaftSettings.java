package pewtercourse.raft;

/**
 * Times in microseconds, and bounds on what is under way.
 *
 * @param heartbeatMicros how often a leader sends to each member
 * @param minElectionTimeoutMicros how long a member waits for its leader: drawn anew each time from here
 * @param maxElectionTimeoutMicros up to here
 * @param replication bounds on entries
 * @param snapshots bounds on snapshots
 */
public record RaftSettings(
        long heartbeatMicros,
        long minElectionTimeoutMicros,
        long maxElectionTimeoutMicros,
        Replication replication,
        Snapshots snapshots) {
    /**
     * Bounds on entries that are under way.
     *
     * @param maxBatchBytes of the entries of one message; a single larger entry goes alone
     * @param maxBatchEntries of one message
     * @param maxInFlight messages with entries to one member before it has answered the first
     * @param maxUncommitted entries that a leader accepts before it rejects further ones as {@link Raft.Rejection#BUSY};
     *     also the reads that may wait
     */
    public record Replication(int maxBatchBytes, int maxBatchEntries, int maxInFlight, int maxUncommitted) {
        /** For networks of one region. */
        public static final Replication DEFAULT = new Replication(128 << 10, 256, 4, 4_096);
    }

    /**
     * Bounds on snapshots.
     *
     * @param partBytes of a snapshot that one message carries
     * @param maxBytes of the largest snapshot that a follower takes
     * @param trailingEntries kept behind a snapshot for members that are a little late
     */
    public record Snapshots(int partBytes, long maxBytes, int trailingEntries) {
        /** For states of some megabytes. */
        public static final Snapshots DEFAULT = new Snapshots(64 << 10, 64L << 20, 512);
    }

    /** With the default bounds. */
    public static RaftSettings of(long heartbeatMicros, long minElectionTimeoutMicros, long maxElectionTimeoutMicros) {
        return new RaftSettings(
                heartbeatMicros,
                minElectionTimeoutMicros,
                maxElectionTimeoutMicros,
                Replication.DEFAULT,
                Snapshots.DEFAULT);
    }
}
