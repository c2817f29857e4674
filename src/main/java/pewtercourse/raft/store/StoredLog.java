package pewtercourse.raft.store;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;

/**
 * The content of the snapshots and segments of a data folder.
 *
 * @param incarnation the incarnation of the folder; 0 if no segment contains one yet
 * @param hardState the last saved hard state
 * @param snapshot the newest snapshot
 * @param entries the log after the snapshot
 * @param snapshotConflicts whether entries were left out because they conflict with the snapshot. The folder still
 *     contains them, so the next segment has to reset the log
 * @param lastIndexBySegment the highest index in each segment, or {@link SegmentFiles#NO_ENTRY}, by segment number
 * @param nextSegment the number of the next segment to write
 * @param tornTail a torn record that has to be removed before the folder is written to
 */
record StoredLog(
        long incarnation,
        HardState hardState,
        Snapshot snapshot,
        List<Entry> entries,
        boolean snapshotConflicts,
        NavigableMap<Long, Long> lastIndexBySegment,
        long nextSegment,
        Optional<TornTail> tornTail) {

    /**
     * A record at the end of a segment that a crash has cut off.
     *
     * @param segment the number of the segment
     * @param completeBytes the size of the complete records before the torn one
     */
    record TornTail(long segment, int completeBytes) {}

    /** The index of the last entry, or that of the snapshot if there are no entries. */
    long lastIndex() {
        return entries.isEmpty()
                ? snapshot.index()
                : entries.get(entries.size() - 1).index();
    }

    /** Whether the first entry is the one that follows the snapshot, as it has to be. */
    boolean startsAfterSnapshot() {
        return entries.isEmpty() || entries.get(0).index() == snapshot.index() + 1;
    }

    /** Returns the state from which Raft starts, with the incarnation that the folder has from now on. */
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
