package pewtercourse.raft;

/**
 * The settings of {@link Raft}: timeouts, and limits on replication and snapshots.
 *
 * @param heartbeatMicros the interval at which a leader sends heartbeats to each member
 * @param minElectionTimeoutMicros the lower bound of the election timeout, which is drawn at random for each wait
 * @param maxElectionTimeoutMicros the upper bound of the election timeout
 * @param replication limits on entries
 * @param snapshots limits on snapshots
 */
public record RaftSettings(
        long heartbeatMicros,
        long minElectionTimeoutMicros,
        long maxElectionTimeoutMicros,
        Replication replication,
        Snapshots snapshots) {
    /**
     * Limits on entries that are in flight.
     *
     * @param maxBatchBytes the maximum size of the entries of one message; a single larger entry is sent alone
     * @param maxBatchEntries the maximum number of entries of one message
     * @param maxInFlight the maximum number of messages with entries to one member that are not answered yet
     * @param maxUncommitted the maximum number of uncommitted entries: a leader rejects further proposals with
     *     {@link Raft.Rejection#BUSY}. The same limit applies to pending reads.
     */
    public record Replication(int maxBatchBytes, int maxBatchEntries, int maxInFlight, int maxUncommitted) {
        /** The defaults, for networks within one region. */
        public static final Replication DEFAULT = new Replication(128 << 10, 256, 4, 4_096);
    }

    /**
     * Limits on snapshots.
     *
     * @param chunkBytes the maximum size of the part of a snapshot that one message carries
     * @param maxBytes the size of the largest snapshot that a follower accepts
     * @param trailingEntries the number of entries before a snapshot's index that are retained in memory, so that a
     *     member that lags only a little does not need the snapshot
     */
    public record Snapshots(int chunkBytes, long maxBytes, int trailingEntries) {
        /** The defaults, for states of a few megabytes. */
        public static final Snapshots DEFAULT = new Snapshots(64 << 10, 64L << 20, 512);
    }

    /** Returns settings with these timeouts and the default limits. */
    public static RaftSettings of(long heartbeatMicros, long minElectionTimeoutMicros, long maxElectionTimeoutMicros) {
        return new RaftSettings(
                heartbeatMicros,
                minElectionTimeoutMicros,
                maxElectionTimeoutMicros,
                Replication.DEFAULT,
                Snapshots.DEFAULT);
    }
}
