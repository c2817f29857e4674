package pewtercourse.raft.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.wire.Wire;

/**
 * The folder of one member: segments of batches ({@code log-N}), the last snapshots ({@code snapshot-INDEX}) and a lock.
 * A batch is one write and one sync; it is whole or it isn't. What is cut off at the very end was never said to be
 * saved, and is left out; damage before a whole batch was, and the folder is refused. All calls block. After an
 * IOException nothing more is written: the folder is closed and opened anew, so that what is on disk decides.
 */
public final class Store implements Closeable {
    private static final int VERSION = 1, SNAPSHOTS = 2;
    private static final String LOCK = "lock", LOG = "log-", SNAPSHOT = "snapshot-", PARTIAL = ".partial";

    private final Path folder;
    private final String cluster, member;
    private final long segmentMost;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final TreeMap<Long, Long> segments = new TreeMap<>(); // Number to the last index in it, -1 for none.
    private long incarnation, term, commit, written, number, last;
    private String votedFor = "";
    private FileChannel out;
    private boolean failed, strays; // strays: the entries read so far don't lead up to the snapshot.

    private Store(Path folder, String cluster, String member, long segmentMost) throws IOException {
        this.folder = folder;
        this.cluster = cluster;
        this.member = member;
        this.segmentMost = segmentMost;
        Files.createDirectories(folder);
        lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = null;
        try {
            held = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // By this process: told below.
        }
        if (held == null) {
            lockFile.close();
            throw new StoreException("'" + folder + "' is in use by another process: end it, or name another folder");
        }
        lock = held;
    }

    /** For one process at a time; {@code segmentMost}: bytes after which a new segment is begun. */
    public static Store open(Path folder, String cluster, String member, long segmentMost) throws IOException {
        return new Store(folder, cluster, member, segmentMost);
    }

    /** Whether something of a cluster is in there already. */
    public static boolean used(Path folder) throws IOException {
        return Files.isDirectory(folder)
                && !(numbers(folder, LOG).isEmpty() && numbers(folder, SNAPSHOT).isEmpty());
    }

    /** Lays the folder of a founding member: all of them are laid with the same membership before any of them starts. */
    public static void found(Path folder, String cluster, String member, Membership members) throws IOException {
        if (used(folder)) {
            throw new StoreException("'" + folder + "' belongs to a cluster already: nothing was changed");
        }
        try (Store s = open(folder, cluster, member, 1 << 20)) {
            s.incarnation = Membership.BOOTSTRAP_INCARNATION;
            s.writeSnapshot(new Snapshot(0, 0, members, new byte[0]));
            s.begin(1);
        }
    }

    /**
     * What is there, ready to be added to. An empty folder is a newcomer's, with an incarnation of its own. Throws a
     * {@link StoreException} for what must not be used.
     */
    public Saved recover() throws IOException {
        for (Path p : list(folder, PARTIAL, true)) {
            Files.delete(p); // Never renamed, so nobody relied on it.
        }
        Snapshot snapshot = newestSnapshot();
        List<Entry> entries = new ArrayList<>();
        List<Long> numbers = numbers(folder, LOG);
        long next = numbers.isEmpty() ? 1 : numbers.get(0);
        for (long n : numbers) {
            if (n != next++) {
                throw new StoreException("'" + folder + "' lacks segment " + LOG + (next - 1) + ": restore it, or empty"
                        + " the folder and let the member learn anew");
            }
            boolean newest = n == numbers.get(numbers.size() - 1);
            int whole = read(n, newest, snapshot, entries);
            if (whole == 0) {
                Files.delete(folder.resolve(LOG + n)); // Begun, and the process ended before anything relied on it.
            } else if (whole > 0) {
                cut(folder.resolve(LOG + n), whole);
            }
        }
        after(snapshot, entries);
        if (!entries.isEmpty() && entries.get(0).index() != snapshot.index() + 1) {
            throw new StoreException(
                    "'" + folder + "' has entry " + entries.get(0).index() + " after snapshot " + snapshot.index()
                            + ": empty the folder and let the member learn anew");
        }
        if (incarnation == 0) {
            SecureRandom random = new SecureRandom();
            while (incarnation == 0 || incarnation == Membership.BOOTSTRAP_INCARNATION) {
                incarnation = random.nextLong();
            }
        }
        last = entries.isEmpty()
                ? snapshot.index()
                : entries.get(entries.size() - 1).index();
        begin(numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1);
        return new Saved(incarnation, term, votedFor.isEmpty() ? null : votedFor, commit, snapshot, entries);
    }

    /** Reads without changing anything, also without the lock: for a look at a folder. */
    public static Saved inspect(Path folder) throws IOException {
        if (!used(folder)) {
            throw new StoreException("'" + folder + "' is no data folder of a cluster");
        }
        try (Store s = new Store(folder)) {
            Snapshot snapshot = s.newestSnapshot();
            List<Entry> entries = new ArrayList<>();
            List<Long> numbers = numbers(folder, LOG);
            for (long n : numbers) {
                s.read(n, n == numbers.get(numbers.size() - 1), snapshot, entries);
            }
            s.after(snapshot, entries);
            return new Saved(
                    s.incarnation, s.term, s.votedFor.isEmpty() ? null : s.votedFor, s.commit, snapshot, entries);
        }
    }

    private Store(Path folder) {
        this.folder = folder;
        this.cluster = null;
        this.member = null;
        this.segmentMost = 0;
        this.lockFile = null;
        this.lock = null;
    }

    /** Writes all of these, in order, and syncs once. */
    public void save(List<Save> group) throws IOException {
        if (failed) {
            throw new IOException("closed after an error");
        }
        failed = true;
        Wire.Batch.Builder batch = Wire.Batch.newBuilder();
        for (Save s : group) {
            if (s.snapshot() != null) {
                write(batch);
                batch.clear();
                writeSnapshot(s.snapshot());
                batch.setResetTo(s.snapshot().index());
                last = s.snapshot().index();
            }
            term = s.term();
            commit = Math.max(commit, s.commit());
            votedFor = s.votedFor() == null ? "" : s.votedFor();
            for (Entry e : s.entries()) {
                batch.addEntry(Codec.encode(e));
                last = e.index();
            }
            batch.setTerm(term).setVotedFor(votedFor).setCommit(commit);
        }
        write(batch);
        out.force(false);
        if (written > segmentMost) {
            begin(number + 1);
        }
        failed = false;
    }

    /** A snapshot that this member made: segments that it stands for are let go. */
    public void snapshot(Snapshot s) throws IOException {
        if (failed) {
            throw new IOException("closed after an error");
        }
        failed = true;
        writeSnapshot(s);
        begin(number + 1);
        failed = false;
    }

    private void write(Wire.Batch.Builder batch) throws IOException {
        if (batch.getTerm() == 0 && batch.getEntryCount() == 0 && batch.getResetTo() == 0) {
            return;
        }
        put(batch.build().toByteArray());
        segments.put(number, last);
    }

    private void put(byte[] content) throws IOException {
        ByteBuffer b = Frames.encode(content);
        written += b.remaining();
        while (b.hasRemaining()) {
            out.write(b);
        }
    }

    // A new segment begins with all that the older ones may be let go for: term and vote.
    private void begin(long n) throws IOException {
        if (out != null) {
            out.close();
        }
        number = n;
        written = 0;
        out = FileChannel.open(
                folder.resolve(LOG + n),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        put(Wire.SegmentHead.newBuilder()
                .setVersion(VERSION)
                .setCluster(cluster)
                .setMember(member)
                .setIncarnation(incarnation)
                .setNumber(n)
                .build()
                .toByteArray());
        put(Wire.Batch.newBuilder()
                .setTerm(term)
                .setVotedFor(votedFor)
                .setCommit(commit)
                .setResetTo(strays ? last : 0)
                .build()
                .toByteArray());
        strays = false;
        out.force(true);
        syncFolder();
        segments.put(n, -1L);
        letGo();
    }

    // Of the segments those go whose every entry the older of the kept snapshots stands for.
    private void letGo() throws IOException {
        List<Long> snapshots = numbers(folder, SNAPSHOT);
        if (snapshots.isEmpty()) {
            return;
        }
        long keep = snapshots.get(Math.max(0, snapshots.size() - SNAPSHOTS));
        while (segments.size() > 1 && segments.firstEntry().getValue() <= keep) {
            Files.deleteIfExists(folder.resolve(LOG + segments.pollFirstEntry().getKey()));
        }
        for (long s : snapshots) {
            if (s < keep) {
                Files.deleteIfExists(folder.resolve(SNAPSHOT + s));
            }
        }
    }

    private void writeSnapshot(Snapshot s) throws IOException {
        Path partial = folder.resolve(SNAPSHOT + s.index() + PARTIAL);
        ByteBuffer b = Frames.encode(Wire.SnapshotFile.newBuilder()
                .setVersion(VERSION)
                .setCluster(cluster)
                .setIndex(s.index())
                .setTerm(s.term())
                .setMembers(Codec.encode(s.members()))
                .setState(UnsafeByteOperations.unsafeWrap(s.state()))
                .build()
                .toByteArray());
        try (FileChannel f = FileChannel.open(
                partial, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (b.hasRemaining()) {
                f.write(b);
            }
            f.force(true);
        }
        Files.move(partial, folder.resolve(SNAPSHOT + s.index()), StandardCopyOption.ATOMIC_MOVE);
        syncFolder();
    }

    private void syncFolder() throws IOException {
        try (FileChannel f = FileChannel.open(folder, StandardOpenOption.READ)) {
            f.force(true);
        }
    }

    // ---- Reading ----

    private Snapshot newestSnapshot() throws IOException {
        List<Long> there = numbers(folder, SNAPSHOT);
        if (there.isEmpty()) {
            return Snapshot.EMPTY;
        }
        // The newest was synced before it got its name: if it is damaged, going back to an older one would be a guess.
        Path file = folder.resolve(SNAPSHOT + there.get(there.size() - 1));
        byte[] content = Frames.at(ByteBuffer.wrap(Files.readAllBytes(file)), 0);
        if (content == null) {
            throw damaged(file, 0);
        }
        Wire.SnapshotFile f = Wire.SnapshotFile.parseFrom(content);
        check(file, f.getVersion(), f.getCluster(), null);
        return new Snapshot(
                f.getIndex(),
                f.getTerm(),
                Codec.decode(f.getMembers()),
                f.getState().toByteArray());
    }

    /** -1 if all of it is whole, else how many bytes at its beginning are. */
    private int read(long n, boolean newest, Snapshot snapshot, List<Entry> entries) throws IOException {
        Path file = folder.resolve(LOG + n);
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] head = Frames.at(bytes, 0);
        if (head == null) {
            if (!newest || Frames.anyFrom(bytes, 1)) {
                throw damaged(file, 0);
            }
            return 0;
        }
        try {
            Wire.SegmentHead h = Wire.SegmentHead.parseFrom(head);
            check(file, h.getVersion(), h.getCluster(), h.getMember());
            incarnation = h.getIncarnation();
            long end = -1;
            int at = Frames.HEAD + head.length;
            while (at < bytes.limit()) {
                byte[] content = Frames.at(bytes, at);
                if (content == null) {
                    // A later batch was only begun once this one was synced.
                    if (!newest || Frames.anyFrom(bytes, at + 1)) {
                        throw damaged(file, at);
                    }
                    segments.put(n, end);
                    return at;
                }
                at += Frames.HEAD + content.length;
                Wire.Batch b = Wire.Batch.parseFrom(content);
                if (b.getTerm() < term) {
                    throw damaged(file, at);
                }
                term = b.getTerm();
                votedFor = b.getVotedFor();
                commit = Math.max(commit, b.getCommit());
                if (b.getResetTo() > 0) {
                    entries.clear();
                    strays = false;
                }
                for (Wire.Entry e : b.getEntryList()) {
                    add(file, Codec.decode(e), snapshot, entries);
                    end = Math.max(end, e.getIndex());
                }
            }
            segments.put(n, end);
            return -1;
        } catch (InvalidProtocolBufferException e) {
            throw damaged(file, 0);
        }
    }

    private static void cut(Path file, int whole) throws IOException {
        try (FileChannel f = FileChannel.open(file, StandardOpenOption.WRITE)) {
            f.truncate(whole);
            f.force(true);
        }
    }

    // The leader's snapshot can be there without the batch that voids what was before it.
    private void after(Snapshot snapshot, List<Entry> entries) {
        if (strays) {
            entries.clear();
        }
        entries.removeIf(e -> e.index() <= snapshot.index());
    }

    private void add(Path file, Entry e, Snapshot snapshot, List<Entry> entries) throws IOException {
        while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= e.index()) {
            entries.remove(entries.size() - 1);
        }
        long before = entries.isEmpty() ? -1 : entries.get(entries.size() - 1).index();
        if (before >= 0 && before + 1 != e.index()) {
            if (before > snapshot.index() || e.index() > snapshot.index() + 1) {
                throw new StoreException("'" + file + "' goes on with entry " + e.index() + " after " + before
                        + ": empty the folder and let the member learn anew");
            }
            entries.clear(); // The snapshot stands for what is between.
        }
        if (e.index() == snapshot.index()) {
            strays = e.term() != snapshot.term();
        }
        entries.add(e);
    }

    private void check(Path file, int version, String ofCluster, String ofMember) throws IOException {
        if (version != VERSION) {
            throw new StoreException("'" + file + "' has version " + version + ", this program reads " + VERSION
                    + ": start it with the program that wrote it");
        }
        if (cluster != null && !cluster.equals(ofCluster)
                || member != null && ofMember != null && !member.equals(ofMember)) {
            throw new StoreException(
                    "'" + file + "' belongs to " + (ofMember == null ? "" : "member '" + ofMember + "' of ")
                            + "cluster '" + ofCluster + "': name the folder of this member");
        }
    }

    private static StoreException damaged(Path file, int at) {
        return new StoreException(
                "'" + file + "' is damaged at byte " + at + ", before data that was saved: keep a copy,"
                        + " empty the folder and let the member learn anew from the others");
    }

    private static List<Path> list(Path folder, String word, boolean atEnd) throws IOException {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
            for (Path p : all) {
                String name = p.getFileName().toString();
                if (atEnd ? name.endsWith(word) : name.startsWith(word)) {
                    found.add(p);
                }
            }
        }
        return found;
    }

    private static List<Long> numbers(Path folder, String prefix) throws IOException {
        List<Long> numbers = new ArrayList<>();
        for (Path p : list(folder, prefix, false)) {
            String rest = p.getFileName().toString().substring(prefix.length());
            if (rest.matches("[0-9]{1,18}")) {
                numbers.add(Long.parseLong(rest)); // Others are foreign: let be.
            }
        }
        numbers.sort(null);
        return numbers;
    }

    @Override
    public void close() throws IOException {
        failed = true;
        if (out != null) {
            out.close();
        }
        if (lock != null) {
            lock.release();
            lockFile.close();
        }
    }
}
