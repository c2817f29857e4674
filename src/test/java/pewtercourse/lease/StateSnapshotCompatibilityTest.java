package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import pewtercourse.Fixtures;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;
import pewtercourse.lease.wire.LeaseWire;

/** Commands and the snapshot of the agreed state as an earlier version wrote them: read with the same content, written alike. */
class StateSnapshotCompatibilityTest {
    private static final String SNAPSHOT = "cluster-state/snapshot.bin";
    private static final String EMPTY_SNAPSHOT = "cluster-state/empty.bin";
    private static final long AT_MS = 1_700_000_000_000L;
    private static final String A = "member-a";
    private static final String B = "member-b";
    private static final String C = "member-c";

    private final ClusterState state = new ClusterState();
    private long index;

    /** Applies the command as the next entry of the log, and returns that entry's index. */
    private long apply(String by, Command command) {
        index++;
        CommandOutcome outcome = state.apply(index, new Command.Envelope(by, 1_000 + index, command));
        assertEquals(Optional.empty(), outcome.rejectionText(), command.toString());
        return index;
    }

    /** Fills every table of the state. */
    private void fill() {
        apply(A, new Command.AssignLease(LeaseNames.MAINTENANCE, A, 0, 0)); // 1
        apply(A, new Command.AssignLease(LeaseNames.QUOTA, B, 0, 0));
        apply(A, new Command.AssignLease(LeaseNames.SITES, C, 0, 0));
        apply(A, new Command.AssignLease("another-lease", C, 0, 0));
        apply(A, new Command.RenewLease(LeaseNames.MAINTENANCE, 1, 0)); // 5
        apply(A, new Command.RequestTransfer(LeaseNames.QUOTA, 2, A));
        apply(C, new Command.ReleaseLease("another-lease", 4, ""));

        apply(A, new Command.DrainCache("cache-1", AT_MS + 1, 0));
        long drained = apply(A, new Command.DrainCache("cache-2", AT_MS + 2, 0));
        apply(A, new Command.ReinstateCache("cache-2", AT_MS + 3, drained)); // 10
        apply(B, new Command.RequestMaintenance("cache-3", "zone-1", AT_MS + 4, 0));
        long ticket = apply(C, new Command.RequestMaintenance("cache-4", "zone-2", AT_MS + 5, 0));
        apply(A, new Command.GrantMaintenance("cache-4", ticket, 1, AT_MS + 6));

        apply(A, new Command.RequestQuota(250));
        long ask = apply(B, new Command.RequestQuota(300)); // 15
        apply(B, new Command.GrantQuota(B, ask, 300, 2, 1_000));
        apply(C, new Command.SetEligibility(false));
        apply(A, new Command.ReportAbsence("member-d", true));

        SiteStatus.Phase[] phases = SiteStatus.Phase.values();
        List<Long> entries = new ArrayList<>();
        for (SiteHealth health : SiteHealth.values()) {
            int number = health.ordinal();
            entries.add(apply(
                    C,
                    new Command.ChangeSiteStatus(
                            new SiteStatusChange(
                                    "site-" + number, phases[number % phases.length], health, number, 10 + number, 0),
                            3))); // 19 to 25
        }
        apply(A, new Command.PauseSiteRecovery("site-1", true, entries.get(1)));
        apply(A, new Command.StartFailoverDrill("site-2", entries.get(2)));
        apply(C, new Command.PublishFailoverPlan(SampleCommands.plan(), 3));
    }

    @Test
    void snapshotIsReadWithItsContent() throws Exception {
        ClusterState read = ClusterState.decode(Fixtures.bytes(SNAPSHOT));

        Map<String, LeaseRecord> leases = Map.of(
                LeaseNames.MAINTENANCE,
                new LeaseRecord(A, 1, 1, false, ""),
                LeaseNames.QUOTA,
                new LeaseRecord(B, 2, 0, true, A),
                LeaseNames.SITES,
                new LeaseRecord(C, 3, 0, false, ""),
                "another-lease",
                new LeaseRecord("", 5, 0, false, C));
        assertEquals(leases, read.leases());
        assertEquals(Map.of("cache-1", AT_MS + 1, "cache-4", AT_MS + 6), read.drainedCaches());
        assertEquals(Map.of("cache-2", AT_MS + 3), read.reinstatedCaches());
        assertEquals(8, read.lastOperatorCommand("cache-1"));
        assertEquals(10, read.lastOperatorCommand("cache-2"));
        assertEquals(11, read.lastOperatorCommand("cache-3"));
        assertEquals(12, read.lastOperatorCommand("cache-4"));
        assertEquals(0, read.lastOperatorCommand("cache-5"));
        assertEquals(
                Map.of(
                        11L, new MaintenanceRequest(11, "cache-3", "zone-1", B, false),
                        12L, new MaintenanceRequest(12, "cache-4", "zone-2", C, true)),
                read.maintenanceRequests());
        assertEquals(Map.of(A, new QuotaRequest(14, 250)), read.quotaRequests());
        assertEquals(Map.of(16L, new QuotaGrant(B, 15, 300)), read.quotaGrants());
        assertEquals(Set.of(C), read.ineligibleMembers());
        assertEquals(Set.of("member-d"), read.absentMembers());
        assertEquals(SampleCommands.plan(), read.failover().plan());
    }

    @Test
    void snapshotIsReadWithTheStatusOfEachSite() throws Exception {
        ClusterState read = ClusterState.decode(Fixtures.bytes(SNAPSHOT));

        Map<String, SiteStatus> expected = new TreeMap<>();
        SiteStatus.Phase[] phases = SiteStatus.Phase.values();
        for (SiteHealth health : SiteHealth.values()) {
            int number = health.ordinal();
            boolean held = number == 1;
            boolean drill = number == 2;
            long entry = held ? 26 : drill ? 27 : 19 + number;
            expected.put(
                    "site-" + number,
                    new SiteStatus(phases[number % phases.length], health, number, 10 + number, held, drill, entry));
        }
        assertEquals(expected, read.failover().statuses());
        assertEquals(7, expected.size());
    }

    @Test
    void theTokenGoesOnFromTheSnapshot() throws Exception {
        ClusterState read = ClusterState.decode(Fixtures.bytes(SNAPSHOT));
        Command assign = new Command.AssignLease("another-lease", B, 5, 0);
        assertTrue(read.apply(29, new Command.Envelope(A, 1, assign)).isApplied());
        assertEquals(6, read.lease("another-lease").token());
    }

    @Test
    void sameStateIsWrittenWithTheSameBytes() throws Exception {
        fill();
        Fixtures.assertFile(SNAPSHOT, state.encode());
        assertArrayEquals(
                Fixtures.bytes(SNAPSHOT),
                ClusterState.decode(Fixtures.bytes(SNAPSHOT)).encode());
        Fixtures.assertFile(EMPTY_SNAPSHOT, new ClusterState().encode());
        assertEquals(
                Set.of(), Fixtures.fieldsNeverSet(List.of(LeaseWire.Snapshot.parseFrom(Fixtures.bytes(SNAPSHOT)))));
    }

    @Test
    void eachCommandIsWrittenWithTheSameBytesAndReadWithItsContent() throws Exception {
        List<LeaseWire.Command> parsed = new ArrayList<>();
        Set<Class<?>> kinds = new HashSet<>();
        List<Command.Envelope> commands = SampleCommands.signed();
        for (int i = 0; i < commands.size(); i++) {
            String file = String.format("commands/%02d.bin", i + 1);
            Fixtures.assertFile(file, CommandCodec.encode(commands.get(i)));
            Fixtures.assertSameContent(commands.get(i), CommandCodec.decode(Fixtures.bytes(file)));
            parsed.add(LeaseWire.Command.parseFrom(Fixtures.bytes(file)));
            kinds.add(commands.get(i).command().getClass());
        }
        assertEquals(Fixtures.leaves(Command.class), kinds);
        assertEquals(Set.of(), Fixtures.fieldsNeverSet(parsed));
        assertEquals(commands.size(), Fixtures.files(Fixtures.path("commands")).size());
    }
}
