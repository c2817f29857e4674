package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests drains for maintenance while holders of the maintenance lease are killed, paused or partitioned. */
class MaintenanceFaultTest extends ClusterFaultTestBase {
    @Test
    void appliesADrainAtAllMembersAndLimitsAZoneToOneDrainedCache() throws Exception {
        await("cache drained", () -> cluster.members.get(0).enterMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 1);
        assertFalse(cluster.members.get(1).enterMaintenance(OTHER_CACHE), "a second drain in the zone must wait");
        awaitOutOfRotation(cluster.members, 1);
        // The second request is queued and granted as soon as the first cache is reinstated.
        await("cache reinstated", () -> cluster.members.get(2).exitMaintenance(CACHE));
        await(
                "queued request granted",
                () -> cluster.members.stream().allMatch(member -> member.isDrained(OTHER_CACHE)));
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
    void keepsQueuedRequestsWhenTheLeaseHolderIsKilled() throws Exception {
        MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
        List<MemberProcess> remaining = cluster.except(holder);
        await("cache drained", () -> remaining.get(0).enterMaintenance(CACHE));
        assertFalse(remaining.get(1).enterMaintenance(OTHER_CACHE));
        holder.kill();
        cluster.awaitLeaseHolder("maintenance", remaining);
        await("cache reinstated", () -> remaining.get(0).exitMaintenance(CACHE));
        await(
                "queued request granted by the next holder",
                () -> remaining.stream().allMatch(member -> member.isDrained(OTHER_CACHE)));
        holder.start();
        await("restarted member knows the drain", () -> holder.isDrained(OTHER_CACHE) && holder.outOfRotation() == 1);
    }

    @Test
    void aHolderPausedPastItsLeaseTakesNoFurtherAction() throws Exception {
        MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
        List<MemberProcess> remaining = cluster.except(holder);
        holder.signal("STOP");
        MemberProcess nextHolder = cluster.awaitLeaseHolder("maintenance", remaining);
        await("cache drained by the next holder", () -> remaining.get(0).enterMaintenance(CACHE));
        holder.signal("CONT");
        await(
                "resumed member knows that it lost the lease",
                () -> holder.isDrained(CACHE) && cluster.leaseHolder("maintenance", List.of(holder)) == null);
        await("cache reinstated", () -> holder.exitMaintenance(CACHE));
        await("cache drained again by the next holder", () -> remaining.get(1).enterMaintenance(CACHE));
        assertTrue(nextHolder.process.isAlive());
    }

    @Test
    void aHolderPartitionedInOneOrBothDirectionsLosesItsLeaseAndKeepsServing() throws Exception {
        await("cache drained", () -> cluster.members.get(0).enterMaintenance(CACHE));
        for (boolean receives : new boolean[] {true, false}) {
            awaitOutOfRotation(cluster.members, 1);
            MemberProcess holder = cluster.awaitLeaseHolder("maintenance", cluster.members);
            List<MemberProcess> remaining = cluster.except(holder);
            cluster.partition(holder, receives, false);
            cluster.awaitLeader(remaining);
            cluster.awaitLeaseHolder("maintenance", remaining);
            if (!receives) {
                assertFalse(holder.exitMaintenance(CACHE), "a minority must not commit");
                assertEquals(1, holder.outOfRotation(), "a minority must keep the committed state");
                await("cache reinstated by the majority", () -> remaining.get(0).exitMaintenance(CACHE));
                awaitOutOfRotation(remaining, 0);
                assertEquals(1, holder.outOfRotation());
                await("cache drained again", () -> remaining.get(0).enterMaintenance(CACHE));
                await("cache reinstated again", () -> remaining.get(1).exitMaintenance(CACHE));
            }
            cluster.healLinks();
            if (!receives) {
                awaitOutOfRotation(cluster.members, 0);
            }
        }
    }
}
