package pewtercourse.raft.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.OptionalLong;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.wire.Wire;

/**
 * Stores the state of one member in its data folder: the log in segments, the last snapshots and a lock.
 *
 * <p>State that is saved together is written as one record with one batch and synced once, so that after a crash either
 * all or nothing of it is on disk. A torn record at the end of the newest segment was never reported as saved and is
 * dropped. Damage before saved data makes the folder unusable; this is reported by a {@link StoreException}.
 *
 * <p>All calls block on the disk. They may come from any thread, but only from one at a time. After an
 * {@link IOException} the store rejects all further writes: it has to be closed and opened again, so that the state is
 * recovered from disk.
 */
public final class LogStore implements Closeable {
    private static final long BOOTSTRAP_SEGMENT_BYTES = 1 << 20;
    private static final long NO_RESET = 0;
    private static final long NO_INCARNATION = 0;

    private final DataFolder folder;
    private final FolderOwner owner;
    private final long maxSegmentBytes;
    private final FolderLock lock;
    private final SnapshotFiles snapshots;
    private final SegmentFiles segments;
    private long incarnation = NO_INCARNATION;
    private HardState hardState = HardState.INITIAL;
    private long lastIndex;
    private boolean writable = true; // False during a write, after a failed write and after close().

    private LogStore(DataFolder folder, FolderOwner owner, long maxSegmentBytes) throws IOException {
        this.folder = folder;
        this.owner = owner;
        this.maxSegmentBytes = maxSegmentBytes;
        this.snapshots = new SnapshotFiles(folder);
        this.segments = new SegmentFiles(folder, owner);
        Files.createDirectories(folder.path());
        this.lock = FolderLock.acquire(folder);
    }

    /**
     * Opens a folder exclusively, and creates it if it does not exist. The caller has to call {@link #recover} next.
     *
     * @param maxSegmentBytes the size of a segment, in bytes, above which a new one is started
     * @throws StoreException if another store has the folder open
     */
    public static LogStore open(Path folder, String cluster, String member, long maxSegmentBytes) throws IOException {
        return new LogStore(new DataFolder(folder), new FolderOwner(cluster, member), maxSegmentBytes);
    }

    /** Whether the folder exists and contains the data of a cluster. */
    public static boolean holdsData(Path folder) throws IOException {
        return new DataFolder(folder).holdsData();
    }

    /**
     * Prepares the folder of a founding member. The folders of all founding members have to be prepared with the same
     * membership before any of these members starts.
     *
     * @throws StoreException if the folder already contains the data of a cluster, which is not changed
     */
    public static void bootstrap(Path folder, String cluster, String member, Membership members) throws IOException {
        if (holdsData(folder)) {
            throw StoreException.alreadyBootstrapped(folder);
        }
        try (LogStore store = open(folder, cluster, member, BOOTSTRAP_SEGMENT_BYTES)) {
            store.incarnation = Membership.BOOTSTRAP_INCARNATION;
            store.snapshots.write(cluster, new Snapshot(0, 0, members, new byte[0]));
            store.beginSegment(NO_RESET);
        }
    }

    /**
     * Reads a folder for inspection, without the lock and without changing any file.
     *
     * @throws StoreException if the folder contains no data or damaged data
     */
    public static Saved inspect(Path folder) throws IOException {
        if (!holdsData(folder)) {
            throw StoreException.noData(folder);
        }
        StoredLog stored = LogReader.inspect(new DataFolder(folder));
        return stored.toSaved(stored.incarnation());
    }

    /**
     * Recovers the saved state and prepares the folder for {@link #save}. An empty folder belongs to a member that
     * joins a cluster; its incarnation is drawn at random.
     *
     * @throws StoreException if the data in the folder must not be used
     */
    public Saved recover() throws IOException {
        folder.deletePartialFiles();
        StoredLog stored = LogReader.read(folder, owner);
        segments.continueFrom(stored);
        if (!stored.startsAfterSnapshot()) {
            throw StoreException.missingEntriesAfterSnapshot(
                    folder.path(),
                    stored.snapshot().index(),
                    stored.entries().get(0).index());
        }
        incarnation = stored.incarnation() == NO_INCARNATION ? drawIncarnation() : stored.incarnation();
        hardState = stored.hardState();
        lastIndex = stored.lastIndex();
        beginSegment(stored.snapshotConflicts() ? lastIndex : NO_RESET);
        return stored.toSaved(incarnation);
    }

    private static long drawIncarnation() {
        SecureRandom random = new SecureRandom();
        long drawn = NO_INCARNATION;
        while (drawn == NO_INCARNATION || drawn == Membership.BOOTSTRAP_INCARNATION) {
            drawn = random.nextLong();
        }
        return drawn;
    }

    /** Writes the saves in order and syncs once; on return they are on disk. */
    public void save(List<Save> saves) throws IOException {
        startWriting();
        Wire.Batch.Builder batch = Wire.Batch.newBuilder();
        for (Save save : saves) {
            if (save.snapshot() != null) {
                append(batch);
                batch.clear();
                installSnapshot(batch, save.snapshot());
            }
            add(batch, save);
        }
        append(batch);
        segments.sync();
        if (segments.bytesWritten() > maxSegmentBytes) {
            beginSegment(NO_RESET);
        }
        writable = true;
    }

    /** Writes a snapshot of this member's own state, and deletes the segments and snapshots that it makes obsolete. */
    public void saveSnapshot(Snapshot snapshot) throws IOException {
        startWriting();
        snapshots.write(owner.cluster(), snapshot);
        beginSegment(NO_RESET);
        writable = true;
    }

    private void startWriting() throws IOException {
        if (!writable) {
            throw new IOException("the store is closed or an earlier write has failed");
        }
        writable = false;
    }

    private void installSnapshot(Wire.Batch.Builder batch, Snapshot snapshot) throws IOException {
        snapshots.write(owner.cluster(), snapshot);
        batch.setResetTo(snapshot.index());
        lastIndex = snapshot.index();
    }

    private void add(Wire.Batch.Builder batch, Save save) {
        hardState = hardState.after(save);
        for (Entry entry : save.entries()) {
            batch.addEntry(Codec.encode(entry));
            lastIndex = entry.index();
        }
        batch.setTerm(hardState.term()).setVotedFor(hardState.votedFor()).setCommit(hardState.commit());
    }

    private void append(Wire.Batch.Builder batch) throws IOException {
        if (batch.getTerm() == 0 && batch.getEntryCount() == 0 && batch.getResetTo() == 0) {
            return;
        }
        segments.append(batch.build(), lastIndex);
    }

    private void beginSegment(long resetTo) throws IOException {
        segments.begin(incarnation, hardState, resetTo);
        deleteObsoleteFiles();
    }

    // A segment is obsolete once the oldest retained snapshot contains all its entries.
    private void deleteObsoleteFiles() throws IOException {
        OptionalLong oldestRetained = snapshots.oldestRetainedIndex();
        if (oldestRetained.isPresent()) {
            segments.deleteCoveredBy(oldestRetained.getAsLong());
            snapshots.deleteBefore(oldestRetained.getAsLong());
        }
    }

    @Override
    public void close() throws IOException {
        writable = false;
        try (lock) {
            segments.close();
        }
    }
}
