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
 * Everything that Raft gives out on random event streams of fixed seeds, with the lease state machine behind it,
 * against hashes that were recorded before the code was restructured. A hash that differs is a changed behaviour.
 */
class RaftTraceTest {
    private static final int STEPS = 2_500;
    private static final int SEEDS = 9;

    /** By seed: the trace of a group of three to five members; every fourth group restores old folders. */
    private static Trace run(int seed) {
        return new TracedGroup(seed, 3 + seed % 3, seed % 4 == 3).run(STEPS);
    }

    @Test
    void tracesOfFixedSeedsEqualTheRecordedOnes() throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        StringBuilder hashes = new StringBuilder();
        for (int seed = 0; seed < SEEDS; seed++) {
            Trace trace = run(seed);
            trace.counts().forEach((kind, count) -> counts.merge(kind, count, Integer::sum));
            hashes.append(seed).append(' ').append(trace.hash()).append('\n');
        }
        assertEquals(Set.of(), missing(counts), counts.toString());
        assertTrue(counts.get("command true") > 1_000, counts.toString());
        assertEquals(recorded(), hashes.toString(), counts.toString());
    }

    private static Set<String> missing(Map<String, Integer> counts) {
        Set<String> expected = new TreeSet<>(List.of(
                "command true",
                "command false",
                "read true",
                "read false",
                "restore at start",
                "restore from leader",
                "later snapshot part",
                "lost folder",
                "old folder",
                "non-member",
                "lost log",
                "refusal -1"));
        for (Raft.Role role : Raft.Role.values()) {
            expected.add("role " + role.ordinal());
        }
        for (Raft.Refusal refusal : Raft.Refusal.values()) {
            expected.add("refusal " + refusal.ordinal());
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

    private static String recorded() throws IOException {
        try (InputStream in = RaftTraceTest.class.getResourceAsStream("/raft/trace-hashes.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
