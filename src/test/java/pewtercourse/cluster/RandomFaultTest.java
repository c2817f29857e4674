package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.until;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Directors as processes, under faults drawn by a seed, while operators take caches out and back at any of them. More
 * seeds than here: {@code mvn -Dtest=RandomFaultTest -Dfault.first=100 -Dfault.seeds=50 test}.
 */
class RandomFaultTest {
    private static final int FAULTS = 6;
    private static final String[] CACHES = {"s-00000001", "s-00000002"};
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject()
            .put("maintenance", new JsonObject().put("most", 1).put("out_most_ms", 600_000))
            .put("quota", new JsonObject().put("reserve", 0.5).put("loan_ms", 500)));

    @TempDir
    Path folder;

    private ClusterProcesses fleet;
    private Random random;
    private final List<String> script = new ArrayList<>();

    static LongStream seeds() {
        long first = Long.getLong("fault.first", 1);
        return LongStream.range(first, first + Long.getLong("fault.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void throughAnyFaultsWhatWasAnsweredHoldsAndAllComesBack(long seed) throws Exception {
        random = new Random(seed);
        fleet = new ClusterProcesses("random-" + seed, folder, 3, SETTINGS);
        try {
            fleet.found();
            fleet.start();
            fleet.awaitLeader(fleet.members);
            RandomOperators words = new RandomOperators(fleet, seed, CACHES);
            for (int i = 0; i < FAULTS; i++) {
                fault();
            }
            assertEquals(List.of(), words.end(), "seed " + seed + ": " + script);
            assertTrue(words.compared() > 0, "seed " + seed + ": no answer was ever compared");
            wellAgain();
            Map<String, Boolean> sure = words.sure();
            until("all go by what was answered: " + sure + " after " + script, () -> {
                JsonObject s = fleet.confirmed(fleet.members);
                return s != null
                        && sure.entrySet().stream()
                                .allMatch(e -> s.getJsonObject("out").containsKey(e.getKey()) == e.getValue());
            });
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ", " + script + ": " + e.getMessage(), e);
        } finally {
            fleet.close();
        }
        ClusterFaultTest.checkActs(fleet.log);
    }

    // One or two members are hurt, and are well again before the next fault.
    private void fault() throws Exception {
        List<ClusterProcesses.Member> order = new ArrayList<>(fleet.members);
        Collections.shuffle(order, random);
        ClusterProcesses.Member m = order.get(0);
        int kind = random.nextInt(10);
        boolean majority = kind != 8 && kind != 9;
        script.add(kind + " " + order.get(0).name + order.get(1).name);
        switch (kind) {
            case 0, 1 -> m.kill();
            case 2, 3 -> m.signal("STOP");
            case 4 -> fleet.cutOff(m, false, false);
            case 5 -> fleet.cutOff(m, random.nextBoolean(), false);
            case 6 -> {
                fleet.cutOff(m, false, true);
            }
            case 7 ->
                order.subList(1, 3).forEach(o -> {
                    fleet.link(m, o).delay(1 + random.nextInt(30));
                    fleet.link(o, m).slow(300 + random.nextInt(2_000));
                    fleet.link(m, o).reset();
                });
            case 8 -> {
                m.signal("STOP");
                order.get(1).kill();
            }
            default -> {
                for (ClusterProcesses.Member x : order) {
                    x.kill();
                }
            }
        }
        List<ClusterProcesses.Member> rest = kind == 7 ? fleet.members : fleet.but(m);
        if (majority) {
            fleet.awaitLeader(rest);
            fleet.awaitHolder("maintenance", rest);
        } else if (kind == 8) {
            ClusterProcesses.Member alone = order.get(2);
            until("the one that is left has no majority", () -> {
                JsonObject s = alone.status();
                return s != null && s.getValue("leader") == null;
            });
            assertTrue(alone.call("GET /status", "").startsWith("HTTP/1.1 200"), "and serves on");
        }
        for (ClusterProcesses.Member x : fleet.members) {
            if (x.process.isAlive()) {
                x.signal("CONT");
            } else {
                x.start();
            }
        }
        fleet.mend();
        wellAgain();
    }

    private void wellAgain() throws InterruptedException {
        fleet.awaitLeader(fleet.members);
        fleet.awaitHolder("maintenance", fleet.members);
        fleet.awaitHolder("quota", fleet.members);
        until("all know what is agreed", () -> {
            Set<String> leaders = new TreeSet<>();
            for (ClusterProcesses.Member m : fleet.members) {
                JsonObject s = m.status();
                if (s == null
                        || s.getString("leader") == null
                        || s.getJsonObject("out").size() > 1) {
                    return false;
                }
                leaders.add(s.getString("leader"));
            }
            return leaders.size() == 1;
        });
    }
}
