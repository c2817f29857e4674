package pewtercourse.raft.store;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;

/**
 * What the snapshots and segments of a data folder hold.
 *
 * @param incarnation the folder's, 0 if no segment names one yet
 * @param hardState term, vote and commit index as last saved
 * @param snapshot the newest one
 * @param entries the log after the snapshot
 * @param conflicting whether entries that contradict the snapshot were left out: the folder still has them, until a
 *     segment says that they are void
 * @param lastIndexes for each segment, by its number, the highest index in it, or {@link SegmentFiles#NO_ENTRY}
 * @param nextSegment the number of the next segment to be written
 * @param tornTail what is to be cut off before the folder is written to
 */
record StoredLog(
        long incarnation,
        HardState hardState,
        Snapshot snapshot,
        List<Entry> entries,
        boolean conflicting,
        NavigableMap<Long, Long> lastIndexes,
        long nextSegment,
        Optional<TornTail> tornTail) {

    /** What a crash left of a record at the end of a segment, behind {@code completeBytes} of complete records. */
    record TornTail(long segment, int completeBytes) {}

    /** The index of the last entry, or the snapshot's. */
    long lastIndex() {
        return entries.isEmpty()
                ? snapshot.index()
                : entries.get(entries.size() - 1).index();
    }

    /** Whether the log goes on right behind the snapshot, as it has to. */
    boolean startsAfterSnapshot() {
        return entries.isEmpty() || entries.get(0).index() == snapshot.index() + 1;
    }

    /** The form in which Raft starts from it, with the incarnation that counts from now on. */
    Saved toSaved(long currentIncarnation) {
        return new Saved(
                currentIncarnation,
                hardState.term(),
                hardState.votedForOrNull(),
                hardState.commit(),
                snapshot,
                entries);
    }
}
