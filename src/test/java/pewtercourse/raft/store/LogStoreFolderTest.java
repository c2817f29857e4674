package pewtercourse.raft.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Snapshot;

/** Tests which folders the store accepts, and the reason for which it rejects the others. */
class LogStoreFolderTest {
    private static final String CLUSTER = "cluster-1";
    private static final String MEMBER = "member-a";
    private static final long MAX_SEGMENT_BYTES = 400;
    private static final Entry ENTRY = Entry.command(1, 1, new byte[1]);
    private static final Membership MEMBERS = Membership.bootstrap(Map.of(MEMBER, "127.0.0.1:7001"));

    @TempDir
    Path temporary;

    private Path bootstrapFolder() throws IOException {
        Path folder = temporary.resolve("bootstrapped");
        LogStore.bootstrap(folder, CLUSTER, MEMBER, MEMBERS);
        return folder;
    }

    private static LogStore open(Path folder) throws IOException {
        return LogStore.open(folder, CLUSTER, MEMBER, MAX_SEGMENT_BYTES);
    }

    private static void assertRejected(StoreException.Reason reason, Path file, Executable call) {
        StoreException exception = assertThrows(StoreException.class, call);
        assertEquals(reason, exception.reason(), exception.getMessage());
        assertEquals(file, exception.file());
    }

    @Test
    void rejectsBootstrappingAFolderThatHoldsData() throws Exception {
        Path folder = bootstrapFolder();
        assertTrue(LogStore.holdsData(folder));
        assertRejected(
                StoreException.Reason.ALREADY_BOOTSTRAPPED,
                folder,
                () -> LogStore.bootstrap(folder, CLUSTER, MEMBER, Membership.EMPTY));
    }

    @Test
    void rejectsTheFolderOfAnotherCluster() throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = LogStore.open(folder, "another", MEMBER, MAX_SEGMENT_BYTES)) {
            assertRejected(StoreException.Reason.OTHER_OWNER, folder.resolve("snapshot-0"), store::recover);
        }
    }

    @Test
    void rejectsTheFolderOfAnotherMember() throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = LogStore.open(folder, CLUSTER, "another", MAX_SEGMENT_BYTES)) {
            assertRejected(StoreException.Reason.OTHER_OWNER, folder.resolve("log-1"), store::recover);
        }
    }

    @Test
    void rejectsOpeningAFolderTwiceAtATime() throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = open(folder)) {
            assertRejected(StoreException.Reason.IN_USE, folder, () -> open(folder));
            assertEquals(Membership.BOOTSTRAP_INCARNATION, store.recover().incarnation());
        }
        open(folder).close();
    }

    @Test
    void ignoresFilesWithOtherNames() throws Exception {
        Path folder = bootstrapFolder();
        Path foreign = folder.resolve("log-notes.txt");
        Files.writeString(foreign, "foreign");
        try (LogStore store = open(folder)) {
            store.recover();
        }
        assertEquals("foreign", Files.readString(foreign));
    }

    @Test
    void drawsAnIncarnationForAnEmptyFolderAndKeepsIt() throws Exception {
        Path folder = temporary.resolve("empty");
        long drawnIncarnation;
        try (LogStore store = open(folder)) {
            drawnIncarnation = store.recover().incarnation();
        }
        assertNotEquals(Membership.BOOTSTRAP_INCARNATION, drawnIncarnation);
        try (LogStore store = open(folder)) {
            assertEquals(drawnIncarnation, store.recover().incarnation());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3})
    void aFolderWhoseLastSegmentHasNoCompleteHeadIsReadAtTheNextStartsToo(int bytes) throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = open(folder)) {
            store.recover();
            store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of(ENTRY))));
        }
        Files.write(folder.resolve("log-3"), new byte[bytes]);
        for (int start = 0; start < 3; start++) {
            try (LogStore store = open(folder)) {
                assertEquals(1, store.recover().entries().size());
                store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of())));
            }
        }
    }

    @Test
    void rejectsInspectingAFolderWithoutData() throws Exception {
        assertFalse(LogStore.holdsData(temporary));
        assertRejected(StoreException.Reason.NO_DATA, temporary, () -> LogStore.inspect(temporary));
    }

    @Test
    void deletesASnapshotThatWasNotRenamed() throws Exception {
        Path folder = bootstrapFolder();
        Path partial = Files.writeString(folder.resolve("snapshot-7.partial"), "begun");
        try (LogStore store = open(folder)) {
            assertEquals(0, store.recover().snapshot().index());
        }
        assertFalse(Files.exists(partial));
    }

    @Test
    void namesAMissingSegment() throws Exception {
        Path folder = bootstrapFolder();
        for (long index = 1; index <= 3; index++) {
            try (LogStore store = open(folder)) {
                store.recover();
                Entry entry = Entry.command(index, 1, new byte[1]);
                store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of(entry))));
            }
        }
        Files.delete(folder.resolve("log-3"));
        try (LogStore store = open(folder)) {
            StoreException exception = assertThrows(StoreException.class, store::recover);
            assertEquals(StoreException.Reason.MISSING_SEGMENT, exception.reason());
            assertEquals(folder, exception.file());
            assertTrue(exception.getMessage().contains("lacks segment log-3"), exception.getMessage());
        }
    }

    @Test
    void rejectsAFolderWithMissingEntries() throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = open(folder)) {
            store.recover();
            Entry entryAfterGap = Entry.command(2, 1, new byte[1]);
            store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of(entryAfterGap))));
        }
        try (LogStore store = open(folder)) {
            assertRejected(StoreException.Reason.MISSING_ENTRIES, folder, store::recover);
        }
    }

    @Test
    void rejectsADamagedSnapshotEvenIfAnOlderOneExists() throws Exception {
        Path folder = bootstrapFolder();
        try (LogStore store = open(folder)) {
            store.recover();
            store.saveSnapshot(new Snapshot(5, 1, MEMBERS, new byte[] {1, 2, 3}));
        }
        Path newest = folder.resolve("snapshot-5");
        byte[] content = Files.readAllBytes(newest);
        content[content.length - 1] ^= 1;
        Files.write(newest, content);
        assertTrue(Files.exists(folder.resolve("snapshot-0")));
        try (LogStore store = open(folder)) {
            assertRejected(StoreException.Reason.DAMAGED, newest, store::recover);
        }
    }

    @Test
    void rejectsWritesAfterClose() throws Exception {
        Path folder = bootstrapFolder();
        LogStore store = open(folder);
        store.recover();
        store.close();
        assertThrows(IOException.class, () -> store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of()))));
        assertThrows(IOException.class, () -> store.saveSnapshot(new Snapshot(1, 1, MEMBERS, new byte[0])));
    }
}
