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
import java.util.Arrays;
import java.util.Collection;
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

/**
 * Compares the store with an in-memory model over random steps with crashes between them. Synced data is recovered
 * completely, and no part of a torn record is recovered.
 */
class LogStoreModelTest {
    private static final String CLUSTER = "c";
    private static final String MEMBER = "m";
    private static final long SMALL_SEGMENT_BYTES = 400;
    private static final long LARGE_SEGMENT_BYTES = 1 << 20;

    /** The expected content of the folder. */
    private static final class Model {
        private long term;
        private final long commit = 0;
        private String votedFor;
        private Snapshot snapshot =
                new Snapshot(0, 0, Membership.bootstrap(Map.of("m", "a:1", "n", "a:2", "o", "a:3")), new byte[0]);
        private final TreeMap<Long, Entry> entries = new TreeMap<>();

        long lastIndex() {
            return entries.isEmpty() ? snapshot.index() : entries.lastKey();
        }

        String describe() {
            return LogStoreModelTest.describe(term, votedFor, snapshot, entries.values());
        }
    }

    private static String describe(Saved saved) {
        return describe(saved.term(), saved.votedFor(), saved.snapshot(), saved.entries());
    }

    private static String describe(long term, String votedFor, Snapshot snapshot, Collection<Entry> entries) {
        StringBuilder text = new StringBuilder()
                .append(term)
                .append(' ')
                .append(votedFor)
                .append(' ')
                .append(snapshot.index())
                .append('/')
                .append(snapshot.term())
                .append(' ')
                .append(new String(snapshot.state()));
        for (Entry entry : entries) {
            text.append(' ')
                    .append(entry.index())
                    .append('/')
                    .append(entry.term())
                    .append('=')
                    .append(new String(entry.command()));
        }
        return text.toString();
    }

    private final Path folder;

    LogStoreModelTest() throws IOException {
        folder = Files.createTempDirectory("store");
    }

    private void emptyAndBootstrapFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        LogStore.bootstrap(folder, CLUSTER, MEMBER, new Model().snapshot.members());
    }

    private LogStore open(long maxSegmentBytes) throws IOException {
        return LogStore.open(folder, CLUSTER, MEMBER, maxSegmentBytes);
    }

    // ---- Random steps, applied to the store and to the model ----

    private static void applyRandomStep(Random random, LogStore store, Model model) throws IOException {
        if (random.nextInt(8) == 0 && !model.entries.isEmpty()) {
            takeSnapshot(random, store, model);
            return;
        }
        List<Save> saves = new ArrayList<>();
        for (int number = random.nextInt(3); number >= 0; number--) {
            saves.add(randomSave(random, model, number));
        }
        store.save(saves);
    }

    private static void takeSnapshot(Random random, LogStore store, Model model) throws IOException {
        long index = model.entries.firstKey() + random.nextInt(model.entries.size());
        long term = model.entries.get(index).term();
        model.snapshot = new Snapshot(index, term, model.snapshot.members(), ("s" + index).getBytes());
        model.entries.headMap(index, true).clear();
        store.saveSnapshot(model.snapshot);
    }

    private static Save randomSave(Random random, Model model, int number) {
        changeTermOrVote(random, model);
        Snapshot installed = null;
        if (random.nextInt(20) == 0 && model.term > 0) {
            byte[] state = ("i" + model.lastIndex()).getBytes();
            installed = new Snapshot(model.lastIndex() + 3, model.term, model.snapshot.members(), state);
            model.snapshot = installed;
            model.entries.clear();
        }
        List<Entry> entries = new ArrayList<>();
        if (model.term > 0 && random.nextBoolean()) {
            entries = appendOrReplace(random, model);
        }
        return new Save(number, model.term, model.votedFor, model.commit, installed, entries);
    }

    private static void changeTermOrVote(Random random, Model model) {
        if (random.nextInt(3) == 0) {
            model.term++;
            model.votedFor = null;
        } else if (model.votedFor == null && model.term > 0) {
            model.votedFor = "v" + random.nextInt(3);
        }
    }

    private static List<Entry> appendOrReplace(Random random, Model model) {
        List<Entry> entries = new ArrayList<>();
        int replacedCount = model.entries.isEmpty() ? 0 : random.nextInt(model.entries.size());
        long firstIndex = model.lastIndex() + 1 - replacedCount;
        model.entries.tailMap(firstIndex, true).clear();
        for (long index = firstIndex; index < firstIndex + 1 + random.nextInt(4); index++) {
            entries.add(Entry.command(index, model.term, ("c" + random.nextInt(1000)).getBytes()));
        }
        entries.forEach(entry -> model.entries.put(entry.index(), entry));
        return entries;
    }

    // ---- Properties ----

    @Property(tries = 150)
    void recoversSyncedDataAndDropsATornRecord(@ForAll @LongRange(min = 0, max = 1 << 20) long seed)
            throws IOException {
        Random random = new Random(seed);
        emptyAndBootstrapFolder();
        Model model = new Model();
        for (int start = 0; start < 4; start++) {
            try (LogStore store = open(SMALL_SEGMENT_BYTES)) {
                assertEquals(model.describe(), describe(store.recover()), "start " + start);
                for (int steps = random.nextInt(25); steps > 0; steps--) {
                    applyRandomStep(random, store, model);
                }
            }
            assertEquals(model.describe(), describe(LogStore.inspect(folder)));
            if (random.nextBoolean()) {
                appendTornRecord(random);
            }
        }
    }

    // Simulates a write that a crash has cut off: appends some bytes of a record, or as many zeros.
    private void appendTornRecord(Random random) throws IOException {
        Path newest = newestSegment();
        byte[] complete =
                RecordFormat.encode(new byte[20 + random.nextInt(200)]).array();
        int written = random.nextInt(complete.length);
        byte[] torn = random.nextBoolean() ? Arrays.copyOf(complete, written) : new byte[written];
        Files.write(newest, torn, StandardOpenOption.APPEND);
    }

    private Path newestSegment() throws IOException {
        List<Long> numbers = new DataFolder(folder).segmentNumbers();
        return folder.resolve("log-" + numbers.get(numbers.size() - 1));
    }

    @Property(tries = 100)
    void rejectsDamageBeforeSyncedData(@ForAll @LongRange(min = 0, max = 1 << 20) long seed) throws IOException {
        Random random = new Random(seed);
        emptyAndBootstrapFolder();
        Model model = new Model();
        try (LogStore store = open(LARGE_SEGMENT_BYTES)) {
            store.recover();
            for (int steps = 0; steps < 20; steps++) {
                applyRandomStep(random, store, model);
            }
            // Synced data must follow the damage, wherever the damage is.
            store.save(List.of(new Save(1, model.term + 1, "x", 0, null, List.of())));
            store.save(List.of(new Save(2, model.term + 2, "x", 0, null, List.of())));
        }
        Path file = newestSegment();
        long size = Files.size(file);
        long position = random.nextLong(size - 1 - RecordFormat.HEADER_BYTES - 8);
        flipBit(file, position, random.nextInt(8));
        String place = "flipped a bit of byte " + position + " of " + size;
        try (LogStore store = open(LARGE_SEGMENT_BYTES)) {
            StoreException exception = assertThrows(StoreException.class, store::recover, place);
            assertEquals(StoreException.Reason.DAMAGED, exception.reason(), place);
            assertEquals(file, exception.file());
            assertTrue(exception.offset().isPresent());
            assertTrue(
                    exception.getMessage().contains("so that the member copies the log from the others"),
                    exception.getMessage());
        }
    }

    private static void flipBit(Path file, long position, int bit) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.allocate(1);
            channel.read(buffer, position);
            buffer.put(0, (byte) (buffer.get(0) ^ 1 << bit)).rewind();
            channel.write(buffer, position);
        }
    }
}
