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
 * The data folder of one member: its log in segments, its last snapshots and a lock.
 *
 * <p>What is saved together is one batch, one record and one sync: after a crash all of it is there, or none. A torn
 * record at the very end was never reported as saved and is dropped; damage before data that was saved makes the folder
 * unusable, which a {@link StoreException} says.
 *
 * <p>All calls block on the disk. They may come from any thread, but from one at a time. After an {@link IOException}
 * nothing more is written: the store is to be closed and opened anew, so that what is on disk decides.
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
    private boolean writable = true; // False during a write, and for good once one has failed.

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
     * Opens the folder for this store alone, and creates it if need be; {@link #recover} comes next.
     *
     * @param maxSegmentBytes the size in bytes after which a new segment is begun
     * @throws StoreException if another store has it open
     */
    public static LogStore open(Path folder, String cluster, String member, long maxSegmentBytes) throws IOException {
        return new LogStore(new DataFolder(folder), new FolderOwner(cluster, member), maxSegmentBytes);
    }

    /** Whether the folder is there and holds data of a cluster. */
    public static boolean holdsData(Path folder) throws IOException {
        return new DataFolder(folder).holdsData();
    }

    /**
     * Prepares the folder of a founding member. Each founding member gets the same membership, before any of them starts.
     *
     * @throws StoreException if the folder holds data of a cluster already, which is left as it is
     */
    public static void bootstrap(Path folder, String cluster, String member, Membership members) throws IOException {
        if (holdsData(folder)) {
            throw StoreException.alreadyBootstrapped(folder);
        }
        try (LogStore store = open(folder, cluster, member, BOOTSTRAP_SEGMENT_BYTES)) {
            store.incarnation = Membership.FOUNDING;
            store.snapshots.write(cluster, new Snapshot(0, 0, members, new byte[0]));
            store.beginSegment(NO_RESET);
        }
    }

    /**
     * Reads a folder for a look at it, without the lock and without changing anything.
     *
     * @throws StoreException if it holds no data or damaged data
     */
    public static Saved inspect(Path folder) throws IOException {
        if (!holdsData(folder)) {
            throw StoreException.noData(folder);
        }
        StoredLog stored = LogReader.inspect(new DataFolder(folder));
        return stored.toSaved(stored.incarnation());
    }

    /**
     * Reads what was saved and makes the folder ready for {@link #save}. An empty folder is that of a member that joins,
     * and gets an incarnation of its own.
     *
     * @throws StoreException if what is there must not be used
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
        beginSegment(stored.conflicting() ? lastIndex : NO_RESET);
        return stored.toSaved(incarnation);
    }

    private static long drawIncarnation() {
        SecureRandom random = new SecureRandom();
        long drawn = NO_INCARNATION;
        while (drawn == NO_INCARNATION || drawn == Membership.FOUNDING) {
            drawn = random.nextLong();
        }
        return drawn;
    }

    /** Writes all of these in order and syncs once; on return they are on disk. */
    public void save(List<Save> group) throws IOException {
        startWriting();
        Wire.Batch.Builder batch = Wire.Batch.newBuilder();
        for (Save save : group) {
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

    /** Writes a snapshot that this member has taken, and deletes the segments and snapshots that it makes obsolete. */
    public void saveSnapshot(Snapshot snapshot) throws IOException {
        startWriting();
        snapshots.write(owner.cluster(), snapshot);
        beginSegment(NO_RESET);
        writable = true;
    }

    private void startWriting() throws IOException {
        if (!writable) {
            throw new IOException("closed after an error");
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

    // A segment goes once the oldest of the retained snapshots covers it.
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
