package pewtercourse.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pewtercourse.raft.wire.Wire;

/**
 * Runs groups of members, with the lease state machine, on random event streams of fixed seeds, and compares the hash
 * of all their outputs with recorded hashes. The hashes were recorded before the code was restructured; a different
 * hash means that the behaviour has changed.
 */
class RaftTraceTest {
    private static final int STEPS = 2_500;
    private static final int SEEDS = 9;

    /** Returns the trace of a group of three to five members; in every fourth group members restore old folders. */
    private static Trace runGroup(int seed) {
        return new TracedGroup(seed, 3 + seed % 3, seed % 4 == 3).run(STEPS);
    }

    @Test
    void tracesOfFixedSeedsHaveTheRecordedHashes() throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        StringBuilder hashes = new StringBuilder();
        for (int seed = 0; seed < SEEDS; seed++) {
            Trace trace = runGroup(seed);
            trace.counts().forEach((kind, count) -> counts.merge(kind, count, Integer::sum));
            hashes.append(seed).append(' ').append(trace.hash()).append('\n');
        }
        assertEquals(Set.of(), missingKinds(counts), counts.toString());
        assertTrue(counts.get("command true") > 1_000, counts.toString());
        assertEquals(recordedHashes(), hashes.toString(), counts.toString());
    }

    /** The kinds of events that a run has to cover and that did not occur. */
    private static Set<String> missingKinds(Map<String, Integer> counts) {
        Set<String> expected = new TreeSet<>(List.of(
                "command true",
                "command false",
                "read true",
                "read false",
                "restore at start",
                "restore from leader",
                "later snapshot chunk",
                "lost folder",
                "restored folder",
                "non-member",
                "lost log",
                "rejection -1"));
        for (Raft.Role role : Raft.Role.values()) {
            expected.add("role " + role.ordinal());
        }
        for (Raft.Rejection rejection : Raft.Rejection.values()) {
            expected.add("rejection " + rejection.ordinal());
        }
        Set.of(
                        Wire.Frame.BodyCase.VOTE_REQUEST,
                        Wire.Frame.BodyCase.VOTE_REPLY,
                        Wire.Frame.BodyCase.APPEND,
                        Wire.Frame.BodyCase.APPEND_REPLY,
                        Wire.Frame.BodyCase.INSTALL,
                        Wire.Frame.BodyCase.INSTALL_REPLY,
                        Wire.Frame.BodyCase.TIMEOUT_NOW)
                .forEach(kind -> expected.add("message " + kind.getNumber()));
        return expected.stream()
                .filter(kind -> !counts.containsKey(kind))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String recordedHashes() throws IOException {
        try (InputStream file = RaftTraceTest.class.getResourceAsStream("/raft/trace-hashes.txt")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
