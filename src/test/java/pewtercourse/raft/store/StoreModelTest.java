package pewtercourse.raft.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;

/** The folder against a map, with crashes: what was synced is there again, and nothing that was not is half there. */
class StoreModelTest {
    private static final String CLUSTER = "c", MEMBER = "m";

    /** What a folder should hold. */
    private static final class Model {
        long term, commit;
        String votedFor;
        Snapshot snapshot =
                new Snapshot(0, 0, Membership.bootstrap(Map.of("m", "a:1", "n", "a:2", "o", "a:3")), new byte[0]);
        TreeMap<Long, Entry> entries = new TreeMap<>();

        long last() {
            return entries.isEmpty() ? snapshot.index() : entries.lastKey();
        }

        String text() {
            StringBuilder b = new StringBuilder()
                    .append(term)
                    .append(' ')
                    .append(votedFor)
                    .append(' ')
                    .append(snapshot.index())
                    .append('/')
                    .append(snapshot.term())
                    .append(' ')
                    .append(new String(snapshot.state()));
            entries.values()
                    .forEach(e -> b.append(' ')
                            .append(e.index())
                            .append('/')
                            .append(e.term())
                            .append('=')
                            .append(new String(e.command())));
            return b.toString();
        }
    }

    private static String text(Saved s) {
        StringBuilder b = new StringBuilder()
                .append(s.term())
                .append(' ')
                .append(s.votedFor())
                .append(' ')
                .append(s.snapshot().index())
                .append('/')
                .append(s.snapshot().term())
                .append(' ')
                .append(new String(s.snapshot().state()));
        s.entries()
                .forEach(e -> b.append(' ')
                        .append(e.index())
                        .append('/')
                        .append(e.term())
                        .append('=')
                        .append(new String(e.command())));
        return b.toString();
    }

    private final Path folder;

    StoreModelTest() throws IOException {
        folder = Files.createTempDirectory("store");
    }

    private Path laid() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
        Store.found(folder, CLUSTER, MEMBER, new Model().snapshot.members());
        return folder;
    }

    /** One step, at the store and at the model. */
    private static void step(Random random, Store store, Model m) throws IOException {
        if (random.nextInt(8) == 0 && !m.entries.isEmpty()) {
            long at = m.entries.firstKey() + random.nextInt(m.entries.size());
            m.snapshot = new Snapshot(at, m.entries.get(at).term(), m.snapshot.members(), ("s" + at).getBytes());
            m.entries.headMap(at, true).clear();
            store.snapshot(m.snapshot);
            return;
        }
        List<Save> group = new ArrayList<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            if (random.nextInt(3) == 0) {
                m.term++;
                m.votedFor = null;
            } else if (m.votedFor == null && m.term > 0) {
                m.votedFor = "v" + random.nextInt(3);
            }
            Snapshot install = null;
            if (random.nextInt(20) == 0 && m.term > 0) {
                install = new Snapshot(m.last() + 3, m.term, m.snapshot.members(), ("i" + m.last()).getBytes());
                m.snapshot = install;
                m.entries.clear();
            }
            List<Entry> entries = new ArrayList<>();
            if (m.term > 0 && random.nextBoolean()) {
                long from = m.last() + 1 - (m.entries.isEmpty() ? 0 : random.nextInt(m.entries.size()));
                m.entries.tailMap(from, true).clear();
                for (long index = from; index < from + 1 + random.nextInt(4); index++) {
                    entries.add(Entry.command(index, m.term, ("c" + random.nextInt(1000)).getBytes()));
                }
                entries.forEach(e -> m.entries.put(e.index(), e));
            }
            group.add(new Save(i, m.term, m.votedFor, m.commit, install, entries));
        }
        store.save(group);
    }

    @Property(tries = 150)
    void whatWasSyncedIsThereAgainAndATornTailIsCut(@ForAll @LongRange(min = 0, max = 1 << 20) long seed)
            throws IOException {
        Random random = new Random(seed);
        laid();
        Model m = new Model();
        for (int life = 0; life < 4; life++) {
            try (Store store = Store.open(folder, CLUSTER, MEMBER, 400)) {
                assertEquals(m.text(), text(store.recover()), "life " + life);
                for (int i = random.nextInt(25); i > 0; i--) {
                    step(random, store, m);
                }
            }
            assertEquals(m.text(), text(Store.inspect(folder)));
            if (random.nextBoolean()) {
                tear(random);
            }
        }
    }

    // A write that the crash cut off: some bytes of a batch, with any content, behind what was synced.
    private void tear(Random random) throws IOException {
        Path newest = newest();
        byte[] whole = Frames.encode(new byte[20 + random.nextInt(200)]).array();
        int kept = random.nextInt(whole.length);
        byte[] torn = random.nextBoolean() ? java.util.Arrays.copyOf(whole, kept) : new byte[kept];
        Files.write(newest, torn, StandardOpenOption.APPEND);
    }

    private Path newest() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> p.getFileName().toString().startsWith("log-"))
                    .max(Comparator.comparingLong(
                            p -> Long.parseLong(p.getFileName().toString().substring(4))))
                    .orElseThrow();
        }
    }

    @Property(tries = 100)
    void damageBeforeWhatWasSyncedIsRefusedOrNotFelt(@ForAll @LongRange(min = 0, max = 1 << 20) long seed)
            throws IOException {
        Random random = new Random(seed);
        laid();
        Model m = new Model();
        try (Store store = Store.open(folder, CLUSTER, MEMBER, 1 << 20)) {
            store.recover();
            for (int i = 0; i < 20; i++) {
                step(random, store, m);
            }
            // So that something was synced behind any damage.
            store.save(List.of(new Save(1, m.term + 1, "x", 0, null, List.of())));
            store.save(List.of(new Save(2, m.term + 2, "x", 0, null, List.of())));
        }
        m.term += 2;
        m.votedFor = "x";
        Path file = newest();
        long size = Files.size(file);
        long last = size - 1 - Frames.HEAD - 8;
        long at = random.nextLong(last);
        try (FileChannel f = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            ByteBuffer b = ByteBuffer.allocate(1);
            f.read(b, at);
            b.put(0, (byte) (b.get(0) ^ 1 << random.nextInt(8))).rewind();
            f.write(b, at);
        }
        try (Store store = Store.open(folder, CLUSTER, MEMBER, 1 << 20)) {
            StoreException e = assertThrows(StoreException.class, store::recover, "bit at " + at + " of " + size);
            assertTrue(e.getMessage().contains("learn anew"), e.getMessage());
        }
    }

    @Property(tries = 1)
    void foldersOfOthersAreRefusedAndLeftAlone() throws IOException {
        laid();
        Files.writeString(folder.resolve("log-notes.txt"), "foreign");
        assertThrows(StoreException.class, () -> Store.found(folder, CLUSTER, MEMBER, Membership.EMPTY));
        for (String[] other : new String[][] {{"another", MEMBER}, {CLUSTER, "another"}}) {
            try (Store s = Store.open(folder, other[0], other[1], 400)) {
                assertThrows(StoreException.class, s::recover);
            }
        }
        try (Store s = Store.open(folder, CLUSTER, MEMBER, 400)) {
            assertThrows(StoreException.class, () -> Store.open(folder, CLUSTER, MEMBER, 400), "in use");
            assertEquals(Membership.BOOTSTRAP_INCARNATION, s.recover().incarnation());
        }
        assertEquals("foreign", Files.readString(folder.resolve("log-notes.txt")));
        Path empty = Files.createTempDirectory("store");
        try (Store s = Store.open(empty, CLUSTER, MEMBER, 400)) {
            assertTrue(s.recover().incarnation() != Membership.BOOTSTRAP_INCARNATION, "a newcomer is no founder");
        }
    }
}
