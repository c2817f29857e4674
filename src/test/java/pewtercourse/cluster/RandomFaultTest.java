package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

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
 * Injects faults drawn by a seed into directors that run as processes, while operators drain and reinstate caches. To
 * run more seeds: {@code mvn -Dtest=RandomFaultTest -Dfault.first=100 -Dfault.seeds=50 test}.
 */
class RandomFaultTest {
    private static final int FAULTS_PER_SEED = 6;
    private static final String[] CACHES = {"s-00000001", "s-00000002"};
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject()
            .put("maintenance", new JsonObject().put("most", 1).put("out_most_ms", 600_000))
            .put("quota", new JsonObject().put("reserve", 0.5).put("loan_ms", 500)));

    /** Faults that are injected into one or more members. */
    private enum Fault {
        KILL,
        STOP,
        CUT_OFF,
        CUT_OFF_SENDING,
        CUT_OFF_RECEIVING,
        SLOW_LINKS,
        STOP_ONE_KILL_ANOTHER,
        KILL_ALL;

        boolean leavesMajority() {
            return this != STOP_ONE_KILL_ANOTHER && this != KILL_ALL;
        }
    }

    /** Faults to draw from, repeated by weight. The order determines which faults a seed draws. */
    private static final List<Fault> WEIGHTED_FAULT_LIST = List.of(
            Fault.KILL,
            Fault.KILL,
            Fault.STOP,
            Fault.STOP,
            Fault.CUT_OFF,
            Fault.CUT_OFF_SENDING,
            Fault.CUT_OFF_RECEIVING,
            Fault.SLOW_LINKS,
            Fault.STOP_ONE_KILL_ANOTHER,
            Fault.KILL_ALL);

    @TempDir
    Path folder;

    private ClusterProcesses cluster;
    private Random random;
    private final List<String> injectedFaults = new ArrayList<>();

    static LongStream seeds() {
        long first = Long.getLong("fault.first", 1);
        return LongStream.range(first, first + Long.getLong("fault.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsAcceptedDrainsAndRecoversAfterRandomFaults(long seed) throws Exception {
        random = new Random(seed);
        cluster = new ClusterProcesses("random-" + seed, folder, 3, SETTINGS);
        try {
            cluster.initFolders();
            cluster.start();
            cluster.awaitLeader(cluster.members);
            RandomOperators operators = new RandomOperators(cluster, seed, CACHES);
            ClusterProcesses.awaitServing(cluster.members);
            for (int i = 0; i < FAULTS_PER_SEED; i++) {
                injectFaultAndRecover();
            }
            assertEquals(List.of(), operators.end(), "seed " + seed + ": " + injectedFaults);
            assertTrue(operators.comparisons() > 0, "seed " + seed + ": no status was compared");
            awaitRecovery();
            awaitDrains(operators.expectedDrains());
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ", " + injectedFaults + ": " + e.getMessage(), e);
        } finally {
            cluster.close();
        }
        LeaseActionLog.check(cluster.log);
    }

    private void awaitDrains(Map<String, Boolean> expected) throws InterruptedException {
        await("all members apply the accepted drains: " + expected + " after " + injectedFaults, () -> {
            JsonObject status = cluster.confirmedStatus(cluster.members);
            return status != null
                    && expected.entrySet().stream()
                            .allMatch(cache ->
                                    status.getJsonObject("out").containsKey(cache.getKey()) == cache.getValue());
        });
    }

    // All members recover before the next fault.
    private void injectFaultAndRecover() throws Exception {
        List<MemberProcess> order = new ArrayList<>(cluster.members);
        Collections.shuffle(order, random);
        Fault fault = WEIGHTED_FAULT_LIST.get(random.nextInt(WEIGHTED_FAULT_LIST.size()));
        injectedFaults.add(fault + " " + order.get(0).name + order.get(1).name);
        inject(fault, order);
        if (fault.leavesMajority()) {
            List<MemberProcess> majority = fault == Fault.SLOW_LINKS ? cluster.members : cluster.except(order.get(0));
            cluster.awaitLeader(majority);
            cluster.awaitLeaseHolder("maintenance", majority);
        } else if (fault == Fault.STOP_ONE_KILL_ANOTHER) {
            assertServesWithoutMajority(order.get(2));
        }
        for (MemberProcess member : cluster.members) {
            if (member.process.isAlive()) {
                member.signal("CONT");
            } else {
                member.start();
            }
        }
        cluster.healLinks();
        awaitRecovery();
    }

    private void inject(Fault fault, List<MemberProcess> order) throws Exception {
        MemberProcess member = order.get(0);
        switch (fault) {
            case KILL -> member.kill();
            case STOP -> member.signal("STOP");
            case CUT_OFF -> cluster.partition(member, false, false);
            case CUT_OFF_SENDING -> cluster.partition(member, random.nextBoolean(), false);
            case CUT_OFF_RECEIVING -> cluster.partition(member, false, true);
            case SLOW_LINKS -> order.subList(1, 3).forEach(other -> slowLinks(member, other));
            case STOP_ONE_KILL_ANOTHER -> {
                member.signal("STOP");
                order.get(1).kill();
            }
            case KILL_ALL -> {
                for (MemberProcess killed : order) {
                    killed.kill();
                }
            }
        }
    }

    private void slowLinks(MemberProcess member, MemberProcess other) {
        cluster.link(member, other).delay(1 + random.nextInt(30));
        cluster.link(other, member).slow(300 + random.nextInt(2_000));
        cluster.link(member, other).reset();
    }

    private static void assertServesWithoutMajority(MemberProcess survivor) throws InterruptedException {
        await("the remaining member knows no leader", () -> {
            JsonObject status = survivor.status();
            return status != null && status.getValue("leader") == null;
        });
        assertTrue(survivor.isServing(), "the director must serve without a majority");
    }

    private void awaitRecovery() throws InterruptedException {
        cluster.awaitLeader(cluster.members);
        ClusterProcesses.awaitServing(cluster.members);
        cluster.awaitLeaseHolder("maintenance", cluster.members);
        cluster.awaitLeaseHolder("quota", cluster.members);
        await("all members know one leader and at most one drain", () -> {
            Set<String> leaders = new TreeSet<>();
            for (MemberProcess member : cluster.members) {
                JsonObject status = member.status();
                if (status == null
                        || status.getString("leader") == null
                        || status.getJsonObject("out").size() > 1) {
                    return false;
                }
                leaders.add(status.getString("leader"));
            }
            return leaders.size() == 1;
        });
    }
}
