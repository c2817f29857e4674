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
            "cache status 0",
            "cache status 1",
            "cache status 2",
            "cache status 3",
            "cache status 4",
            "cache status 5",
            "cache status 6",
            "cache status 7",
            "cache status 8",
            "cache status 9",
            "cache status 10",
            "endpoint update 0",
            "endpoint update 1",
            "endpoint update 2",
            "endpoint update 3",
            "idempotency 0",
            "idempotency 1",
            "idempotency 2",
            "deduplication scope 0",
            "deduplication scope 1",
            "deduplication scope 2",
            "role 0",
            "role 1",
            "role 2",
            "lifecycle 0",
            "lifecycle 1",
            "lifecycle 2",
            "sibling fill policy 0",
            "sibling fill policy 1",
            "sibling fill policy 2",
            "cache status detail 0",
            "cache status detail 1",
            "cache status detail 2",
            "retention rank 0",
            "retention rank 1",
            "retention rank 2",
            "retention rank 3",
            "ejected",
            "slow start limited",
            "lost answer",
            "client disconnected",
            "stream started",
            "purge of object",
            "purge of group",
            "gossip well-formed",
            "gossip truncated",
            "gossip too long",
            "gossip random",
            "quota changed",
            "settings changed",
            "coalescing true",
            "coalescing false",
            "cache bypass true",
            "cache bypass false",
            "gossip enabled true",
            "gossip enabled false",
            "parallel attempts true",
            "parallel attempts false",
            "attempt cancellation true",
            "attempt cancellation false",
            "pushed endpoint updates true",
            "pushed endpoint updates false",
            "weights are capacities true",
            "weights are capacities false",
            "client bandwidth known true",
            "client bandwidth known false",
            "fill link bandwidth known true",
            "fill link bandwidth known false",
            "zones true",
            "zones false",
            "one router true",
            "one router false",
            "overload window true",
            "overload window false",
            "streaming true",
            "streaming false",
            "fresh until purged true",
            "fresh until purged false",
            "segmented true",
            "segmented false",
            "uncacheable true",
            "uncacheable false",
            "fill from sibling",
            "fill from parent",
            "fill from origin",
            "no fill",
            "with timeout",
            "with maximum copy age",
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
