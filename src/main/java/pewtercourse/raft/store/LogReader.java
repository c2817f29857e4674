package pewtercourse.raft.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.wire.Wire;

/**
 * Rebuilds the log from the newest snapshot and from all segments, in the order in which they were written. An entry
 * replaces any earlier entry with the same or a higher index. Reading does not change the folder. An instance is used
 * for one read.
 */
final class LogReader {
    private static final long FIRST_SEGMENT = 1;

    private final DataFolder folder;
    private final HeaderCheck check;
    private final Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Long> lastIndexBySegment = new TreeMap<>();
    private long incarnation;
    private HardState hardState = HardState.INITIAL;
    private boolean snapshotConflicts;
    private Optional<StoredLog.TornTail> tornTail = Optional.empty();

    private LogReader(DataFolder folder, HeaderCheck check) throws IOException {
        this.folder = folder;
        this.check = check;
        this.snapshot = new SnapshotFiles(folder).readNewest(check);
    }

    /**
     * Reads the folder of this member so that the store can continue from it.
     *
     * @throws StoreException if a segment is missing
     */
    static StoredLog read(DataFolder folder, FolderOwner owner) throws IOException {
        LogReader reader = new LogReader(folder, HeaderCheck.ownedBy(owner));
        List<Long> numbers = folder.segmentNumbers();
        long expectedNumber = numbers.isEmpty() ? FIRST_SEGMENT : numbers.get(0);
        for (long number : numbers) {
            if (number != expectedNumber) {
                throw StoreException.missingSegment(folder.path(), folder.segment(expectedNumber));
            }
            expectedNumber++;
            reader.readSegment(number, isNewest(number, numbers));
        }
        return reader.storedLog(expectedNumber);
    }

    /** Reads the folder of any member for inspection, even if a segment is missing. */
    static StoredLog inspect(DataFolder folder) throws IOException {
        LogReader reader = new LogReader(folder, HeaderCheck.anyOwner());
        List<Long> numbers = folder.segmentNumbers();
        long nextNumber = FIRST_SEGMENT;
        for (long number : numbers) {
            nextNumber = number + 1;
            reader.readSegment(number, isNewest(number, numbers));
        }
        return reader.storedLog(nextNumber);
    }

    private static boolean isNewest(long number, List<Long> numbers) {
        return number == numbers.get(numbers.size() - 1);
    }

    private void readSegment(long number, boolean newest) throws IOException {
        Path file = folder.segment(number);
        SegmentReader segment = new SegmentReader(file, newest);
        Optional<Wire.SegmentHead> head = segment.readHead();
        if (head.isPresent()) {
            check.require(file, head.get());
            incarnation = head.get().getIncarnation();
            lastIndexBySegment.put(number, readBatches(file, segment));
        }
        if (segment.torn()) {
            tornTail = Optional.of(new StoredLog.TornTail(number, segment.offset()));
        }
    }

    /** Applies the batches of a segment and returns the highest index of their entries. */
    private long readBatches(Path file, SegmentReader segment) throws IOException {
        long lastIndex = SegmentFiles.NO_ENTRY;
        for (Optional<Wire.Batch> read = segment.readBatch(); read.isPresent(); read = segment.readBatch()) {
            Wire.Batch batch = read.get();
            if (batch.getTerm() < hardState.term()) {
                throw StoreException.damaged(file, segment.offset());
            }
            lastIndex = Math.max(lastIndex, apply(file, batch));
        }
        return lastIndex;
    }

    /** Applies a batch and returns the highest index of its entries. */
    private long apply(Path file, Wire.Batch batch) throws StoreException {
        hardState = hardState.after(batch.getTerm(), batch.getVotedFor(), batch.getCommit());
        if (batch.getResetTo() > 0) {
            entries.clear();
            snapshotConflicts = false;
        }
        long lastIndex = SegmentFiles.NO_ENTRY;
        for (Wire.Entry stored : batch.getEntryList()) {
            Entry entry = Codec.decode(stored);
            add(file, entry);
            lastIndex = Math.max(lastIndex, entry.index());
        }
        return lastIndex;
    }

    private void add(Path file, Entry entry) throws StoreException {
        removeFrom(entry.index());
        if (!entries.isEmpty() && lastEntryIndex() + 1 != entry.index()) {
            boolean coveredBySnapshot = lastEntryIndex() <= snapshot.index() && entry.index() <= snapshot.index() + 1;
            if (!coveredBySnapshot) {
                throw StoreException.missingEntries(file, lastEntryIndex(), entry.index());
            }
            entries.clear();
        }
        if (entry.index() == snapshot.index()) {
            snapshotConflicts = entry.term() != snapshot.term();
        }
        entries.add(entry);
    }

    private void removeFrom(long index) {
        while (!entries.isEmpty() && lastEntryIndex() >= index) {
            entries.remove(entries.size() - 1);
        }
    }

    private long lastEntryIndex() {
        return entries.get(entries.size() - 1).index();
    }

    private StoredLog storedLog(long nextSegment) {
        // After a crash, a snapshot of the leader can be on disk without the batch that resets the log to it.
        // Then the log may still contain entries that conflict with the snapshot.
        if (snapshotConflicts) {
            entries.clear();
        }
        entries.removeIf(entry -> entry.index() <= snapshot.index());
        return new StoredLog(
                incarnation,
                hardState,
                snapshot,
                entries,
                snapshotConflicts,
                lastIndexBySegment,
                nextSegment,
                tornTail);
    }
}
