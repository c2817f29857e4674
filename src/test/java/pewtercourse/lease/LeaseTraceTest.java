package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Replays command streams with fixed random seeds, and a small cluster on a virtual clock. Compares the SHA-256 of all
 * outputs with the hash that was recorded before the package was restructured. Outputs are hashed by position, without
 * the names of types or fields.
 */
class LeaseTraceTest {
    private static final String GOLDEN_FILE = "/traces/lease-trace.txt";
    // The field numbers of the first and the last kind of command in lease.proto.
    private static final int FIRST_KIND = 3;
    private static final int LAST_KIND = 21;

    private static final Set<String> EXPECTED_REJECTIONS = Set.of(
            "stale fencing token",
            "late: another command on this cache or site was agreed first: try again",
            "the lease was renewed or assigned in the meantime",
            "this renewal was already applied",
            "the member's status is already as reported",
            "too many members are ineligible or absent",
            "1024 caches are drained, which is the maximum",
            "1024 maintenance requests are open, which is the maximum",
            "the maintenance request was cancelled in the meantime",
            "the maintenance request does not exist any more",
            "only the holder of the maintenance lease, or the requesting member before the grant, may cancel it",
            "too many members request quota",
            "the quota request does not exist any more",
            "the grant exceeds the quota pool or the number of grants",
            "the quota grant was already released",
            "another change of this site's status was agreed first");

    @Test
    void commandStreamsProduceTheRecordedResultsAndSnapshots() throws Exception {
        Set<Integer> seenKinds = new TreeSet<>();
        Set<String> seenRejections = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            CommandStream stream = new CommandStream(seed, seenKinds, seenRejections);
            stream.applyRandomCommands(2_500);
            lines.add("commands " + seed + " " + stream.hash());
        }
        CommandStream stream = new CommandStream(6, seenKinds, seenRejections);
        stream.exceedEachLimit();
        lines.add("bounds 6 " + stream.hash());

        assertEquals(allKinds(), seenKinds);
        assertEquals(new TreeSet<>(EXPECTED_REJECTIONS), seenRejections);
        assertEquals(goldenLines("commands", "bounds"), lines);
    }

    @Test
    void virtualClusterProducesTheRecordedCommandsAndLeases() throws Exception {
        Set<Integer> seenKinds = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 4; seed++) {
            VirtualCluster cluster = new VirtualCluster(seed, 2 + (int) (seed % 3), seenKinds);
            cluster.run(5_000);
            lines.add("cluster " + seed + " " + cluster.hash());
        }

        Set<Integer> memberKinds = allKinds();
        // Only operators propose drains, reinstatements, maintenance requests, recovery pauses and drills.
        memberKinds.removeAll(Set.of(6, 7, 8, 20, 21));
        assertEquals(memberKinds, seenKinds);
        assertEquals(goldenLines("cluster"), lines);
    }

    private static Set<Integer> allKinds() {
        Set<Integer> kinds = new TreeSet<>();
        for (int kind = FIRST_KIND; kind <= LAST_KIND; kind++) {
            kinds.add(kind);
        }
        return kinds;
    }

    private static List<String> goldenLines(String... tags) throws IOException {
        try (InputStream in = LeaseTraceTest.class.getResourceAsStream(GOLDEN_FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> List.of(tags).contains(line.substring(0, line.indexOf(' '))))
                    .toList();
        }
    }
}
