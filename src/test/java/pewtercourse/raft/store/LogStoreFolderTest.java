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
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Snapshot;

/** Whose folder is accepted, and which are refused with which reason. */
class LogStoreFolderTest {
    private static final String CLUSTER = "cluster-1";
    private static final String MEMBER = "member-a";
    private static final long MAX_SEGMENT_BYTES = 400;
    private static final Membership MEMBERS = Membership.founding(Map.of(MEMBER, "127.0.0.1:7001"));

    @TempDir
    Path temporary;

    private Path bootstrapped() throws IOException {
        Path folder = temporary.resolve("bootstrapped");
        LogStore.bootstrap(folder, CLUSTER, MEMBER, MEMBERS);
        return folder;
    }

    private static LogStore open(Path folder) throws IOException {
        return LogStore.open(folder, CLUSTER, MEMBER, MAX_SEGMENT_BYTES);
    }

    private static void assertRefused(StoreException.Reason reason, Path file, Executable call) {
        StoreException refused = assertThrows(StoreException.class, call);
        assertEquals(reason, refused.reason(), refused.getMessage());
        assertEquals(file, refused.file());
    }

    @Test
    void aFolderThatHoldsDataIsNotBootstrappedAgain() throws Exception {
        Path folder = bootstrapped();
        assertTrue(LogStore.holdsData(folder));
        assertRefused(
                StoreException.Reason.ALREADY_BOOTSTRAPPED,
                folder,
                () -> LogStore.bootstrap(folder, CLUSTER, MEMBER, Membership.NONE));
    }

    @Test
    void aFolderOfAnotherClusterIsRefused() throws Exception {
        Path folder = bootstrapped();
        try (LogStore store = LogStore.open(folder, "another", MEMBER, MAX_SEGMENT_BYTES)) {
            assertRefused(StoreException.Reason.OTHER_OWNER, folder.resolve("snapshot-0"), store::recover);
        }
    }

    @Test
    void aFolderOfAnotherMemberIsRefused() throws Exception {
        Path folder = bootstrapped();
        try (LogStore store = LogStore.open(folder, CLUSTER, "another", MAX_SEGMENT_BYTES)) {
            assertRefused(StoreException.Reason.OTHER_OWNER, folder.resolve("log-1"), store::recover);
        }
    }

    @Test
    void aFolderIsOpenedOnceAtATime() throws Exception {
        Path folder = bootstrapped();
        try (LogStore store = open(folder)) {
            assertRefused(StoreException.Reason.IN_USE, folder, () -> open(folder));
            assertEquals(Membership.FOUNDING, store.recover().incarnation());
        }
        open(folder).close();
    }

    @Test
    void filesOfOthersAreLeftAlone() throws Exception {
        Path folder = bootstrapped();
        Path foreign = folder.resolve("log-notes.txt");
        Files.writeString(foreign, "foreign");
        try (LogStore store = open(folder)) {
            store.recover();
        }
        assertEquals("foreign", Files.readString(foreign));
    }

    @Test
    void aMemberThatJoinsDrawsAnIncarnationOfItsOwnAndKeepsIt() throws Exception {
        Path folder = temporary.resolve("empty");
        long drawn;
        try (LogStore store = open(folder)) {
            drawn = store.recover().incarnation();
        }
        assertNotEquals(Membership.FOUNDING, drawn);
        try (LogStore store = open(folder)) {
            assertEquals(drawn, store.recover().incarnation());
        }
    }

    @Test
    void aFolderWithoutDataCannotBeInspected() throws Exception {
        assertFalse(LogStore.holdsData(temporary));
        assertRefused(StoreException.Reason.NO_DATA, temporary, () -> LogStore.inspect(temporary));
    }

    @Test
    void aSnapshotThatWasNeverRenamedIsDeleted() throws Exception {
        Path folder = bootstrapped();
        Path partial = Files.writeString(folder.resolve("snapshot-7.partial"), "begun");
        try (LogStore store = open(folder)) {
            assertEquals(0, store.recover().snapshot().index());
        }
        assertFalse(Files.exists(partial));
    }

    @Test
    void aMissingSegmentIsNamed() throws Exception {
        Path folder = bootstrapped();
        for (long index = 1; index <= 3; index++) {
            try (LogStore store = open(folder)) {
                store.recover();
                Entry entry = Entry.command(index, 1, new byte[1]);
                store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of(entry))));
            }
        }
        Files.delete(folder.resolve("log-3"));
        try (LogStore store = open(folder)) {
            StoreException refused = assertThrows(StoreException.class, store::recover);
            assertEquals(StoreException.Reason.MISSING_SEGMENT, refused.reason());
            assertEquals(folder, refused.file());
            assertTrue(refused.getMessage().contains("lacks segment log-3"), refused.getMessage());
        }
    }

    @Test
    void missingEntriesAreRefused() throws Exception {
        Path folder = bootstrapped();
        try (LogStore store = open(folder)) {
            store.recover();
            Entry tooFarOn = Entry.command(2, 1, new byte[1]);
            store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of(tooFarOn))));
        }
        try (LogStore store = open(folder)) {
            assertRefused(StoreException.Reason.MISSING_ENTRIES, folder, store::recover);
        }
    }

    @Test
    void aDamagedSnapshotIsRefusedEvenIfAnOlderOneIsThere() throws Exception {
        Path folder = bootstrapped();
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
            assertRefused(StoreException.Reason.DAMAGED, newest, store::recover);
        }
    }

    @Test
    void nothingIsWrittenAfterItWasClosed() throws Exception {
        Path folder = bootstrapped();
        LogStore store = open(folder);
        store.recover();
        store.close();
        assertThrows(IOException.class, () -> store.save(List.of(new Save(1, 1, MEMBER, 0, null, List.of()))));
        assertThrows(IOException.class, () -> store.saveSnapshot(new Snapshot(1, 1, MEMBERS, new byte[0])));
    }
}
