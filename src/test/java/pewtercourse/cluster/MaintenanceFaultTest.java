package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Caches drained for maintenance while holders of the maintenance lease are killed, stopped or cut off. */
class MaintenanceFaultTest extends ClusterFaultTestBase {
    @Test
    void aDrainCountsAtAllMembersAndOneCacheOfAZoneIsOutAtATime() throws Exception {
        await("out", () -> cluster.members.get(0).enterMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 1);
        assertFalse(cluster.members.get(1).enterMaintenance(OTHER_CACHE), "a second one of the zone");
        awaitOutOfRotation(cluster.members, 1);
        // It is queued: the holder of the maintenance lease grants it as soon as the first is back.
        await("back", () -> cluster.members.get(2).exitMaintenance(CACHE));
        await("the next is granted", () -> cluster.members.stream().allMatch(member -> member.isDrained(OTHER_CACHE)));
        awaitOutOfRotation(cluster.members, 1);
        String admin = cluster.members.get(0).adminAddress();
        assertEquals(0, cluster.runCommand("cluster", "status", "--admin", admin));
        assertTrue(cluster.logged("line out " + OTHER_CACHE));
        String metrics = cluster.members.get(1).call("GET /status/metrics", "");
        for (String line : List.of("out_of_rotation=1", "cluster.open=1", "duty.out=1", "cluster.members=3")) {
            assertTrue(metrics.contains("\n" + line + "\n"), metrics);
        }
    }

    @Test
    void aKilledHoldersLeaseAndQueuedRequestsSurviveIt() throws Exception {
        MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
        List<MemberProcess> rest = cluster.except(holder);
        await("out", () -> rest.get(0).enterMaintenance(CACHE));
        assertFalse(rest.get(1).enterMaintenance(OTHER_CACHE));
        holder.kill();
        cluster.awaitLeaseHolder("maintenance", rest);
        await("back", () -> rest.get(0).exitMaintenance(CACHE));
        await("granted by the next holder", () -> rest.stream().allMatch(member -> member.isDrained(OTHER_CACHE)));
        holder.start();
        await("it comes back and learns", () -> holder.isDrained(OTHER_CACHE) && holder.outOfRotation() == 1);
    }

    @Test
    void aHolderStoppedForLongerThanItsLeaseDoesNothingMore() throws Exception {
        MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
        List<MemberProcess> rest = cluster.except(holder);
        holder.signal("STOP");
        MemberProcess next = cluster.awaitLeaseHolder("maintenance", rest);
        await("the next one acts", () -> rest.get(0).enterMaintenance(CACHE));
        holder.signal("CONT");
        await(
                "it sees who holds the lease",
                () -> holder.isDrained(CACHE) && cluster.leaseHolder("maintenance", List.of(holder)) == null);
        await("back", () -> holder.exitMaintenance(CACHE));
        await("and out again by the next one", () -> rest.get(1).enterMaintenance(CACHE));
        assertTrue(next.process.isAlive());
    }

    @Test
    void aHolderCutOffOneWayOrBothLosesItsLeaseAndServesOn() throws Exception {
        await("out", () -> cluster.members.get(0).enterMaintenance(CACHE));
        for (boolean receives : new boolean[] {true, false}) {
            awaitOutOfRotation(cluster.members, 1);
            MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
            List<MemberProcess> rest = cluster.except(holder);
            cluster.partition(holder, receives, false);
            cluster.awaitLeader(rest);
            cluster.awaitLeaseHolder("maintenance", rest);
            if (!receives) {
                assertFalse(holder.exitMaintenance(CACHE), "a minority changes nothing");
                assertEquals(1, holder.outOfRotation(), "and goes by what was committed");
                await("the majority decides otherwise", () -> rest.get(0).exitMaintenance(CACHE));
                awaitOutOfRotation(rest, 0);
                assertEquals(1, holder.outOfRotation());
                await("and out again", () -> rest.get(0).enterMaintenance(CACHE));
                await("and back", () -> rest.get(1).exitMaintenance(CACHE));
            }
            cluster.healLinks();
            if (!receives) {
                awaitOutOfRotation(cluster.members, 0);
            }
        }
    }
}
