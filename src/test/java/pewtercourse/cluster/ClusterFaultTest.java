package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a cluster without a majority, planned stops, and slow or unreliable links. */
class ClusterFaultTest extends ClusterFaultTestBase {
    @Test
    void commitsNothingWithoutAMajorityAndRecoversAfterRestarts() throws Exception {
        await("cache drained", () -> cluster.members.get(0).enterMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 1);
        MemberProcess survivor = cluster.members.get(2);
        cluster.members.get(0).kill();
        cluster.members.get(1).kill();
        assertFalse(survivor.exitMaintenance(CACHE), "one of three members must not commit");
        assertEquals(1, survivor.outOfRotation());
        survivor.kill();
        // Restarted alone, the member uses the committed state from its data folder.
        survivor.start();
        await("the restarted member knows the committed drain", () -> survivor.outOfRotation() == 1);
        assertFalse(survivor.exitMaintenance(CACHE));
        cluster.members.get(0).start();
        await("two of three members commit again", () -> survivor.exitMaintenance(CACHE));
        cluster.members.get(1).start();
        awaitOutOfRotation(cluster.members, 0);
        cluster.members.forEach(member -> member.process.destroyForcibly());
        cluster.start();
        cluster.awaitLeader(cluster.members);
        awaitOutOfRotation(cluster.members, 0);
    }

    @Test
    void transfersTheLeaseOnPlannedStopStandbyAndOperatorCommand() throws Exception {
        MemberProcess stopped = cluster.awaitLeaseHolder("maintenance", cluster.members);
        stopped.signal("TERM");
        assertEquals(0, stopped.process.waitFor());
        assertTrue(
                cluster.log.stream().noneMatch(line -> line.startsWith(stopped.name + " ") && line.contains("ERROR")));
        List<MemberProcess> remaining = cluster.except(stopped);
        cluster.awaitLeaseHolder("maintenance", remaining);
        // A director in standby also releases its lease, but stays a voter.
        MemberProcess standby = cluster.awaitLeaseHolder("maintenance", remaining);
        assertTrue(standby.call("POST /standby", "").startsWith("HTTP/1.1 200"), cluster::logText);
        await("lease released by the director in standby", () -> {
            MemberProcess holder = cluster.leaseHolder("maintenance", remaining);
            return holder != null && holder != standby;
        });
        MemberProcess third = cluster.awaitLeaseHolder("maintenance", remaining);
        assertTrue(standby.call("POST /active", "").startsWith("HTTP/1.1 200"), cluster::logText);
        await("lease transfer accepted", () -> transferLease(third, standby));
        await("lease held by the requested member", () -> cluster.leaseHolder("maintenance", List.of(standby)) != null);
    }

    private boolean transferLease(MemberProcess from, MemberProcess to) {
        try {
            return cluster.runCommand(
                            "cluster", "hand-on", "maintenance", "--to", to.name, "--admin", from.adminAddress())
                    == 0;
        } catch (Exception e) {
            return false;
        }
    }

    @Test
    void commitsDespiteDelayedSlowAndResetLinks() throws Exception {
        for (MemberProcess from : cluster.members) {
            for (MemberProcess to : cluster.except(from)) {
                cluster.link(from, to).delay(15);
                cluster.link(from, to).slow(700);
            }
        }
        await("cache drained", () -> cluster.members.get(0).enterMaintenance(CACHE));
        cluster.link(cluster.members.get(0), cluster.members.get(1)).reset();
        cluster.link(cluster.members.get(2), cluster.members.get(1)).reset();
        awaitOutOfRotation(cluster.members, 1);
        await("cache reinstated", () -> cluster.members.get(1).exitMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 0);
    }
}
