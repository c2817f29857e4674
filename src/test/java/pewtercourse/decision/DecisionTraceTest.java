package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Compares the decisions of the router with recorded ones. {@link RandomEventStream} plays random events from fixed seeds.
 * The file {@code decision-trace.txt} has a line for each stream: its seed, the hash of all actions, and the numbers of events
 * and actions. A hash that differs means that a decision differs. The hashes contain no names of types or fields, so a rename
 * does not change them.
 */
class DecisionTraceTest {
    private static final int STREAM_COUNT = 32;
    private static final String RECORDED_FILE = "decision-trace.txt";
    private static final Path ACTUAL_FILE = Path.of("target", RECORDED_FILE);

    /** Each of these must occur in the streams: the hashes say nothing about a case that never occurs. */
    private static final Set<String> MUST_OCCUR = new TreeSet<>(Set.of(
            "action cancel",
            "action fail",
            "action gossip",
            "action reject",
            "action send",
            "action timer",
            "action watch",
            "outcome 0",
            "outcome 1",
            "outcome 2",
            "outcome 3",
            "outcome 4",
            "outcome 5",
            "outcome 6",
            "outcome 7",
            "outcome 8",
            "note 0",
            "note 1",
            "note 2",
            "note 3",
            "note 4",
            "note 5",
            "note 6",
            "note 7",
            "note 8",
            "note 9",
            "note 10",
            "list 0",
            "list 1",
            "list 2",
            "list 3",
            "effect 0",
            "effect 1",
            "effect 2",
            "group 0",
            "group 1",
            "group 2",
            "role 0",
            "role 1",
            "role 2",
            "state 0",
            "state 1",
            "state 2",
            "siblings 0",
            "siblings 1",
            "siblings 2",
            "notes 0",
            "notes 1",
            "notes 2",
            "rank 0",
            "rank 1",
            "rank 2",
            "rank 3",
            "ejected",
            "short of warm-up budget",
            "lost answer",
            "client gone",
            "stream begun",
            "purge of object",
            "purge of group",
            "gossip whole",
            "gossip cut",
            "gossip too long",
            "gossip random",
            "quota changed",
            "reconfigured",
            "coalescing true",
            "coalescing false",
            "bypass true",
            "bypass false",
            "gossip true",
            "gossip false",
            "parallel true",
            "parallel false",
            "cancel true",
            "cancel false",
            "pushed true",
            "pushed false",
            "weights told true",
            "weights told false",
            "client rate true",
            "client rate false",
            "link rate true",
            "link rate false",
            "zones true",
            "zones false",
            "one router true",
            "one router false",
            "overload window true",
            "overload window false",
            "stream true",
            "stream false",
            "fresh for ever true",
            "fresh for ever false",
            "segmented true",
            "segmented false",
            "uncacheable true",
            "uncacheable false",
            "fill from sibling",
            "fill from parent",
            "fill from origin",
            "no fill",
            "with timeout",
            "with age bound",
            "second attempt",
            "attempt at parent"));

    @Test
    void everyEventStreamYieldsItsRecordedActions() throws IOException {
        TreeMap<String, Integer> occurrences = new TreeMap<>();
        StringBuilder actual = new StringBuilder();
        for (int seed = 0; seed < STREAM_COUNT; seed++) {
            RandomEventStream stream = new RandomEventStream(seed, occurrences);
            String hash = stream.play();
            actual.append(seed).append(' ').append(hash).append(' ').append(stream.eventCount());
            actual.append(' ').append(stream.actionCount()).append('\n');
        }
        Files.writeString(ACTUAL_FILE, actual);

        for (String label : MUST_OCCUR) {
            assertTrue(occurrences.getOrDefault(label, 0) > 0, label + " never occurred; occurrences: " + occurrences);
        }
        assertEquals(
                recorded(),
                actual.toString(),
                "decisions differ from the recorded ones; the present ones are in " + ACTUAL_FILE);
    }

    private static String recorded() throws IOException {
        try (InputStream in = DecisionTraceTest.class.getResourceAsStream(RECORDED_FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
