package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Lost majorities, planned stops and bad links. */
class ClusterFaultTest extends ClusterFaultTestBase {
    @Test
    void withoutAMajorityNothingChangesAndAllComeBackByThemselves() throws Exception {
        await("out", () -> cluster.members.get(0).enterMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 1);
        MemberProcess survivor = cluster.members.get(2);
        cluster.members.get(0).kill();
        cluster.members.get(1).kill();
        assertFalse(survivor.exitMaintenance(CACHE), "one of three commits nothing");
        assertEquals(1, survivor.outOfRotation());
        survivor.kill();
        // Alone from its folder it goes by what was committed.
        survivor.start();
        await("it remembers", () -> survivor.outOfRotation() == 1);
        assertFalse(survivor.exitMaintenance(CACHE));
        cluster.members.get(0).start();
        await("with one more it commits again", () -> survivor.exitMaintenance(CACHE));
        cluster.members.get(1).start();
        awaitOutOfRotation(cluster.members, 0);
        cluster.members.forEach(member -> member.process.destroyForcibly());
        cluster.start();
        cluster.awaitLeader(cluster.members);
        awaitOutOfRotation(cluster.members, 0);
    }

    @Test
    void aPlannedStopAStandbyAndAnOperatorTransferTheLease() throws Exception {
        MemberProcess stopped = cluster.awaitLeaseHolder("maintenance", cluster.members);
        stopped.signal("TERM");
        assertEquals(0, stopped.process.waitFor());
        assertTrue(
                cluster.log.stream().noneMatch(line -> line.startsWith(stopped.name + " ") && line.contains("ERROR")));
        List<MemberProcess> rest = cluster.except(stopped);
        cluster.awaitLeaseHolder("maintenance", rest);
        // A standby releases its lease too, and keeps its vote.
        MemberProcess standby = cluster.awaitLeaseHolder("maintenance", rest);
        assertTrue(standby.call("POST /standby", "").startsWith("HTTP/1.1 200"), cluster::logText);
        await("released by the standby", () -> {
            MemberProcess holder = cluster.leaseHolder("maintenance", rest);
            return holder != null && holder != standby;
        });
        MemberProcess third = cluster.awaitLeaseHolder("maintenance", rest);
        assertTrue(standby.call("POST /active", "").startsWith("HTTP/1.1 200"), cluster::logText);
        await("transferred by an operator", () -> transferLease(third, standby));
        await("to whom it was to go", () -> cluster.leaseHolder("maintenance", List.of(standby)) != null);
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
    void linksThatDelaySlowDownAndResetOnlyDelay() throws Exception {
        for (MemberProcess from : cluster.members) {
            for (MemberProcess to : cluster.except(from)) {
                cluster.link(from, to).delay(15);
                cluster.link(from, to).slow(700);
            }
        }
        await("out", () -> cluster.members.get(0).enterMaintenance(CACHE));
        cluster.link(cluster.members.get(0), cluster.members.get(1)).reset();
        cluster.link(cluster.members.get(2), cluster.members.get(1)).reset();
        awaitOutOfRotation(cluster.members, 1);
        await("back", () -> cluster.members.get(1).exitMaintenance(CACHE));
        awaitOutOfRotation(cluster.members, 0);
    }
}
