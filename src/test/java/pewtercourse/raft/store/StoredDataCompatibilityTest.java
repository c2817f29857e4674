package pewtercourse.raft.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.Fixtures;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.SampleCommands;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.wire.Wire;

/**
 * Compares the store with stored data folders of an earlier version: the folders are read to the same content, and the
 * same content is written to the same bytes. There are three folders: one with several segments and snapshots, a copy
 * of it with a torn last record, and the folder of a member that joined with an empty folder, whose incarnation was
 * drawn at random.
 */
class StoredDataCompatibilityTest {
    private static final String LOG = "data-folder";
    private static final String TORN = "data-folder-torn";
    private static final String JOINED = "data-folder-joined";
    private static final String CLUSTER = "cluster-1";
    private static final String MEMBER = "member-a";
    private static final int SEGMENT_BYTES = 500;
    private static final int RECORD_HEAD_BYTES = 8;
    private static final int BYTES_CUT_OFF = 3;
    private static final long TERM = 7;
    private static final long SNAPSHOT_INDEX = 12;
    private static final Membership FOUNDERS = Membership.bootstrap(
            Map.of("member-a", "127.0.0.1:7001", "member-b", "127.0.0.1:7002", "member-c", "127.0.0.1:7003"));
    private static final Membership CHANGED =
            FOUNDERS.with("member-d", new Membership.Member("127.0.0.1:7004", 0x1122334455667788L, false));

    @TempDir
    Path temporary;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Entry command(long index, long term, String text) {
        return Entry.command(index, term, bytes(text));
    }

    private static Entry empty(long index, long term) {
        return new Entry(index, term, Entry.Kind.EMPTY, new byte[0], null);
    }

    // ---- Content of the folders ----

    private static Snapshot leaderSnapshot() {
        return new Snapshot(9, 4, FOUNDERS, bytes("state of the leader"));
    }

    private static Snapshot ownSnapshot() {
        return new Snapshot(SNAPSHOT_INDEX, 5, CHANGED, bytes("state of this member"));
    }

    /** The entries after the snapshot: an empty one, one that changes the members, and one for each type of command. */
    private static List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        entries.add(empty(13, 6));
        entries.add(Entry.members(14, 6, CHANGED));
        for (Command.Envelope command : SampleCommands.signed()) {
            entries.add(Entry.command(entries.get(entries.size() - 1).index() + 1, TERM, CommandCodec.encode(command)));
        }
        return entries;
    }

    private static Saved contentWith(List<Entry> entries, long commit) {
        return new Saved(Membership.BOOTSTRAP_INCARNATION, TERM, "member-c", commit, ownSnapshot(), entries);
    }

    private static Saved completeContent() {
        List<Entry> entries = entries();
        return contentWith(entries, entries.get(entries.size() - 1).index() - 2);
    }

    // ---- Writing the folders ----

    /** Writes a folder over a bootstrap and three starts, with replaced entries, a leader's snapshot and an own one. */
    private static Path writeLog(Path folder) throws IOException {
        LogStore.bootstrap(folder, CLUSTER, MEMBER, FOUNDERS);
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            store.recover();
            store.save(List.of(new Save(1, 3, null, 0, null, List.of(empty(1, 3), command(2, 3, "before")))));
            store.save(List.of(
                    new Save(2, 4, "member-b", 1, null, List.of(command(3, 4, "void"))),
                    new Save(3, 4, "member-b", 9, leaderSnapshot(), List.of(command(10, 4, "after the snapshot")))));
        }
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            store.recover();
            store.save(
                    List.of(new Save(4, 5, null, 10, null, List.of(command(11, 4, "replaced"), command(12, 4, "x")))));
            store.save(
                    List.of(new Save(5, 5, "member-a", 10, null, List.of(command(11, 5, "a"), command(12, 5, "b")))));
            store.saveSnapshot(ownSnapshot());
            store.save(List.of(new Save(6, 6, "member-b", 12, null, entries().subList(0, 2))));
        }
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            store.recover();
            List<Entry> commands = entries().subList(2, entries().size());
            for (Entry entry : commands) {
                store.save(List.of(new Save(7, TERM, "member-c", entry.index() - 2, null, List.of(entry))));
            }
        }
        return folder;
    }

    /** Writes the folder of a member that joins: one segment and a snapshot of the leader. */
    private static void writeJoinedFolder(Path folder) throws IOException {
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            store.recover();
            store.save(
                    List.of(new Save(1, 4, null, 9, leaderSnapshot(), List.of(command(10, 4, "after the snapshot")))));
        }
    }

    // ---- Several segments and snapshots ----

    @Test
    void readsTheStoredFolder() throws Exception {
        Path folder = Fixtures.copy(LOG, temporary.resolve("copy"));
        Fixtures.assertSameContent(completeContent(), LogStore.inspect(folder));
        Fixtures.assertSameFiles(Fixtures.files(Fixtures.path(LOG)), Fixtures.files(folder));

        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            Saved saved = store.recover();
            Fixtures.assertSameContent(completeContent(), saved);
            List<Command.Envelope> commands = new ArrayList<>();
            for (Entry entry : saved.entries()) {
                if (entry.kind() == Entry.Kind.COMMAND) {
                    commands.add(CommandCodec.decode(entry.command()));
                }
            }
            Fixtures.assertSameContent(SampleCommands.signed(), commands);
        }
    }

    @Test
    void writesTheStoredBytes() throws Exception {
        Path folder = writeLog(temporary.resolve("new"));
        Fixtures.assertFolder(LOG, Fixtures.files(folder));
    }

    @Test
    void recoveryAddsOneSegmentAndChangesNoOtherFile() throws Exception {
        Path folder = Fixtures.copy(LOG, temporary.resolve("copy"));
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            store.recover();
        }
        Map<String, byte[]> before = Fixtures.files(Fixtures.path(LOG));
        Map<String, byte[]> after = Fixtures.files(folder);
        long newest = newestSegment(before);
        byte[] added = after.remove("log-" + (newest + 1));
        Fixtures.assertSameFiles(before, after);
        Wire.SegmentHead head = Wire.SegmentHead.parseFrom(records(added).get(0));
        assertEquals(newest + 1, head.getNumber());
        Wire.Batch batch = Wire.Batch.parseFrom(records(added).get(1));
        assertEquals(TERM, batch.getTerm());
        assertEquals("member-c", batch.getVotedFor());
        assertEquals(completeContent().commit(), batch.getCommit());
        assertEquals(0, batch.getResetTo());
        assertEquals(2, records(added).size());
    }

    @Test
    void storedFolderHasSeveralSegmentsAndSetsEveryField() throws Exception {
        Map<String, byte[]> files = Fixtures.files(Fixtures.path(LOG));
        assertEquals(
                2,
                files.keySet().stream()
                        .filter(name -> name.startsWith("snapshot-"))
                        .count());
        assertTrue(
                files.keySet().stream().filter(name -> name.startsWith("log-")).count() >= 4);
        assertEquals(Set.of(), Fixtures.fieldsNeverSet(parse(files)));
        Set<Class<?>> commandTypes = new HashSet<>();
        SampleCommands.signed()
                .forEach(signed -> commandTypes.add(signed.command().getClass()));
        assertEquals(Fixtures.recordTypes(Command.class), commandTypes);
    }

    // ---- Torn last record ----

    @Test
    void dropsATornRecordAndKeepsTheOthers() throws Exception {
        Path folder = Fixtures.copy(TORN, temporary.resolve("copy"));
        List<Entry> completeEntries = entries().subList(0, entries().size() - 1);
        Saved expected = contentWith(
                completeEntries, completeEntries.get(completeEntries.size() - 1).index() - 2);
        Fixtures.assertSameContent(expected, LogStore.inspect(folder));
        Fixtures.assertSameFiles(Fixtures.files(Fixtures.path(TORN)), Fixtures.files(folder));

        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            Fixtures.assertSameContent(expected, store.recover());
        }
        Map<String, byte[]> completeFiles = Fixtures.files(Fixtures.path(LOG));
        String tornSegment = "log-" + newestSegment(completeFiles);
        byte[] remaining = Fixtures.files(folder).get(tornSegment);
        assertArrayEquals(
                Arrays.copyOf(
                        completeFiles.get(tornSegment),
                        completeFiles.get(tornSegment).length - lastRecordBytes(completeFiles)),
                remaining);
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            Fixtures.assertSameContent(expected, store.recover());
        }
    }

    @Test
    void tornFolderIsTheCompleteOneWithoutItsLastBytes() throws Exception {
        Map<String, byte[]> files = Fixtures.files(Fixtures.path(LOG));
        String tornSegment = "log-" + newestSegment(files);
        assertTrue(lastRecordBytes(files) > RECORD_HEAD_BYTES + BYTES_CUT_OFF);
        assertEquals(
                1, Wire.Batch.parseFrom(last(records(files.get(tornSegment)))).getEntryCount());
        files.put(tornSegment, Arrays.copyOf(files.get(tornSegment), files.get(tornSegment).length - BYTES_CUT_OFF));
        Fixtures.assertFolder(TORN, files);
    }

    // ---- Member that joined with an empty folder ----

    @Test
    void readsTheStoredFolderOfAMemberThatJoined() throws Exception {
        Path folder = Fixtures.copy(JOINED, temporary.resolve("copy"));
        long incarnation = incarnationIn(Fixtures.files(folder).get("log-1"));
        assertTrue(incarnation != 0 && incarnation != Membership.BOOTSTRAP_INCARNATION);
        Saved expected =
                new Saved(incarnation, 4, null, 9, leaderSnapshot(), List.of(command(10, 4, "after the snapshot")));
        Fixtures.assertSameContent(expected, LogStore.inspect(folder));
        try (LogStore store = LogStore.open(folder, CLUSTER, MEMBER, SEGMENT_BYTES)) {
            Fixtures.assertSameContent(expected, store.recover());
        }
        assertEquals(incarnation, incarnationIn(Fixtures.files(folder).get("log-2")));
    }

    @Test
    void writesTheStoredBytesForAMemberThatJoinsExceptForItsIncarnation() throws Exception {
        Path folder = temporary.resolve("new");
        writeJoinedFolder(folder);
        Map<String, byte[]> files = Fixtures.files(folder);
        assertNotEquals(Membership.BOOTSTRAP_INCARNATION, incarnationIn(files.get("log-1")));
        if (!Fixtures.path(JOINED).toFile().exists()) {
            Fixtures.assertFolder(JOINED, files);
        }
        Map<String, byte[]> storedFiles = Fixtures.files(Fixtures.path(JOINED));
        for (Map<String, byte[]> folderFiles : List.of(files, storedFiles)) {
            folderFiles.put("log-1", withIncarnation(folderFiles.get("log-1"), 2));
        }
        Fixtures.assertSameFiles(storedFiles, files);
    }

    // ---- Record format, decoded without the code under test ----

    /** Decodes the records of a file. A length and a checksum of four bytes each precede the content of a record. */
    private static List<byte[]> records(byte[] file) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(file);
        while (buffer.hasRemaining()) {
            int length = buffer.getInt();
            int checksum = buffer.getInt();
            byte[] content = new byte[length];
            buffer.get(content);
            assertEquals(checksum, checksum(content));
            records.add(content);
        }
        return records;
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(4).putInt(0, content.length));
        checksum.update(content);
        return (int) checksum.getValue();
    }

    private static byte[] record(byte[] content) {
        return ByteBuffer.allocate(RECORD_HEAD_BYTES + content.length)
                .putInt(content.length)
                .putInt(checksum(content))
                .put(content)
                .array();
    }

    private static byte[] last(List<byte[]> records) {
        return records.get(records.size() - 1);
    }

    private static int lastRecordBytes(Map<String, byte[]> files) {
        return RECORD_HEAD_BYTES + last(records(files.get("log-" + newestSegment(files)))).length;
    }

    private static long newestSegment(Map<String, byte[]> files) {
        return files.keySet().stream()
                .filter(name -> name.startsWith("log-"))
                .mapToLong(name -> Long.parseLong(name.substring("log-".length())))
                .max()
                .orElseThrow();
    }

    private static long incarnationIn(byte[] segment) throws IOException {
        return Wire.SegmentHead.parseFrom(records(segment).get(0)).getIncarnation();
    }

    private static byte[] withIncarnation(byte[] segment, long incarnation) throws IOException {
        byte[] head = records(segment).get(0);
        byte[] changed = Wire.SegmentHead.parseFrom(head).toBuilder()
                .setIncarnation(incarnation)
                .build()
                .toByteArray();
        assertEquals(head.length, changed.length, "the incarnation has a fixed width");
        byte[] copy = segment.clone();
        System.arraycopy(record(changed), 0, copy, 0, RECORD_HEAD_BYTES + changed.length);
        return copy;
    }

    private static List<Message> parse(Map<String, byte[]> files) throws IOException {
        List<Message> messages = new ArrayList<>();
        for (Map.Entry<String, byte[]> file : new TreeMap<>(files).entrySet()) {
            List<byte[]> records = records(file.getValue());
            if (file.getKey().startsWith("snapshot-")) {
                assertEquals(1, records.size());
                messages.add(Wire.SnapshotFile.parseFrom(records.get(0)));
            } else {
                messages.add(Wire.SegmentHead.parseFrom(records.get(0)));
                for (byte[] batch : records.subList(1, records.size())) {
                    messages.add(Wire.Batch.parseFrom(batch));
                }
            }
        }
        return messages;
    }
}
