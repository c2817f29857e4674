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
 * Replays random but fixed command streams and a small cluster on a virtual clock, and compares the SHA-256 of all
 * outputs with the ones recorded before the package was restructured. Outputs are hashed by position, without type or
 * field names.
 */
class LeaseTraceTest {
    private static final String GOLDEN = "/traces/lease-trace.txt";
    private static final int FIRST_KIND = 3;
    private static final int LAST_KIND = 21;

    private static final Set<String> ALL_REJECTIONS = Set.of(
            "an older token",
            "settled before",
            "another change of this site came first",
            "known",
            "renewed or assigned meanwhile",
            "renewed before",
            "1024 are out",
            "1024 calls wait or are out",
            "withdrawn meanwhile",
            "withdrawn before",
            "an older token, or another's ticket",
            "too many wishes",
            "not wished for any more",
            "over what may be lent",
            "late: another word on this was agreed first: call again");

    @Test
    void commandStreamsGiveTheRecordedResultsAndSnapshots() throws Exception {
        Set<Integer> kinds = new TreeSet<>();
        Set<String> rejections = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            CommandStream stream = new CommandStream(seed, kinds, rejections);
            stream.randomCommands(2_500);
            lines.add("commands " + seed + " " + stream.hash());
        }
        CommandStream stream = new CommandStream(6, kinds, rejections);
        stream.exceedBounds();
        lines.add("bounds 6 " + stream.hash());

        assertEquals(allKinds(), kinds);
        assertEquals(new TreeSet<>(ALL_REJECTIONS), rejections);
        assertEquals(golden("commands", "bounds"), lines);
    }

    @Test
    void aClusterOnAVirtualClockGivesTheRecordedCommandsAndLeases() throws Exception {
        Set<Integer> kinds = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 4; seed++) {
            VirtualCluster cluster = new VirtualCluster(seed, 2 + (int) (seed % 3), kinds);
            cluster.run(5_000);
            lines.add("cluster " + seed + " " + cluster.hash());
        }

        Set<Integer> ownKinds = allKinds();
        // Drain, reinstate, request of maintenance and the two orders on sites come from operators alone.
        ownKinds.removeAll(Set.of(6, 7, 8, 20, 21));
        assertEquals(ownKinds, kinds);
        assertEquals(golden("cluster"), lines);
    }

    private static Set<Integer> allKinds() {
        Set<Integer> kinds = new TreeSet<>();
        for (int kind = FIRST_KIND; kind <= LAST_KIND; kind++) {
            kinds.add(kind);
        }
        return kinds;
    }

    private static List<String> golden(String... tags) throws IOException {
        try (InputStream in = LeaseTraceTest.class.getResourceAsStream(GOLDEN)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> List.of(tags).contains(line.substring(0, line.indexOf(' '))))
                    .toList();
        }
    }
}
