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
 * Rebuilds the log from the newest snapshot and all segments, in the order in which they were written: an entry replaces
 * an earlier one of the same index and those behind it. Reading changes nothing in the folder. Each instance reads once.
 */
final class LogReader {
    private static final long FIRST_SEGMENT = 1;

    private final DataFolder folder;
    private final HeaderCheck check;
    private final Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Long> lastIndexes = new TreeMap<>();
    private long incarnation;
    private HardState hardState = HardState.INITIAL;
    private boolean conflicting;
    private Optional<StoredLog.TornTail> tornTail = Optional.empty();

    private LogReader(DataFolder folder, HeaderCheck check) throws IOException {
        this.folder = folder;
        this.check = check;
        this.snapshot = new SnapshotFiles(folder).readNewest(check);
    }

    /** Reads the folder of this member to go on from it; fails with a {@link StoreException} where a segment is missing. */
    static StoredLog read(DataFolder folder, FolderOwner owner) throws IOException {
        LogReader reader = new LogReader(folder, HeaderCheck.ownedBy(owner));
        List<Long> numbers = folder.segmentNumbers();
        long expected = numbers.isEmpty() ? FIRST_SEGMENT : numbers.get(0);
        for (long number : numbers) {
            if (number != expected) {
                throw StoreException.missingSegment(folder.path(), folder.segment(expected));
            }
            expected++;
            reader.readSegment(number, isNewest(number, numbers));
        }
        return reader.storedLog(expected);
    }

    /** Reads the folder of any member for a look at it, also where a segment is missing. */
    static StoredLog inspect(DataFolder folder) throws IOException {
        LogReader reader = new LogReader(folder, HeaderCheck.anyOwner());
        List<Long> numbers = folder.segmentNumbers();
        long next = FIRST_SEGMENT;
        for (long number : numbers) {
            next = number + 1;
            reader.readSegment(number, isNewest(number, numbers));
        }
        return reader.storedLog(next);
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
            lastIndexes.put(number, readBatches(file, segment));
        }
        if (segment.torn()) {
            tornTail = Optional.of(new StoredLog.TornTail(number, segment.offset()));
        }
    }

    /** Returns the highest index in the segment. */
    private long readBatches(Path file, SegmentReader segment) throws IOException {
        long lastIndex = SegmentFiles.NO_ENTRY;
        for (Optional<Wire.Batch> next = segment.readBatch(); next.isPresent(); next = segment.readBatch()) {
            Wire.Batch batch = next.get();
            if (batch.getTerm() < hardState.term()) {
                throw StoreException.damaged(file, segment.offset());
            }
            lastIndex = Math.max(lastIndex, apply(file, batch));
        }
        return lastIndex;
    }

    /** Returns the highest index in the batch. */
    private long apply(Path file, Wire.Batch batch) throws StoreException {
        hardState = hardState.after(batch.getTerm(), batch.getVotedFor(), batch.getCommit());
        if (batch.getResetTo() > 0) {
            entries.clear();
            conflicting = false;
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
            conflicting = entry.term() != snapshot.term();
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
        // A snapshot from the leader can be on disk without the batch that voids the entries it contradicts.
        if (conflicting) {
            entries.clear();
        }
        entries.removeIf(entry -> entry.index() <= snapshot.index());
        return new StoredLog(
                incarnation, hardState, snapshot, entries, conflicting, lastIndexes, nextSegment, tornTail);
    }
}
