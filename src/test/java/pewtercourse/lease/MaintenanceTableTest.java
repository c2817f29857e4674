package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MaintenanceTableTest {
    private static final long TOKEN = 1;
    private static final long REQUEST_NUMBER = 40;

    private final LeaseTable leases = new LeaseTable();
    private final DrainTable drains = new DrainTable();
    private final MaintenanceTable maintenance = new MaintenanceTable(leases, drains);

    @BeforeEach
    void requestMaintenanceOfOneCache() {
        leases.assign(new Command.AssignLease(LeaseNames.MAINTENANCE, "d1", 0, 0));
        maintenance.request(REQUEST_NUMBER, "d2", new Command.RequestMaintenance("c1", "z1", 5, 0));
    }

    private CommandOutcome grant(long token) {
        return maintenance.grant(new Command.GrantMaintenance("c1", REQUEST_NUMBER, token, 6));
    }

    private CommandOutcome cancel(String proposer, long token) {
        return maintenance.cancel(proposer, new Command.CancelMaintenance("c1", REQUEST_NUMBER, token, 7));
    }

    @Test
    void drainsTheCacheOnGrant() {
        assertTrue(grant(TOKEN).isApplied());

        assertTrue(drains.drained().containsKey("c1"));
        assertTrue(maintenance.requestFor("c1").orElseThrow().granted());
    }

    @Test
    void rejectsAGrantWithAnEarlierToken() {
        assertEquals(CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN), grant(TOKEN - 1));

        assertFalse(drains.drained().containsKey("c1"));
    }

    @Test
    void addsNoSecondRequestForTheSameCache() {
        maintenance.request(REQUEST_NUMBER + 1, "d3", new Command.RequestMaintenance("c1", "z1", 8, 0));

        assertEquals(1, maintenance.requests().size());
    }

    @Test
    void allowsTheRequestingMemberToCancelBeforeTheGrant() {
        assertTrue(cancel("d2", 0).isApplied());

        assertTrue(maintenance.requests().isEmpty());
        assertEquals(CommandOutcome.rejected(RejectionReason.MAINTENANCE_REQUEST_CANCELLED), grant(TOKEN));
    }

    @Test
    void rejectsTheCancellationByAnotherMember() {
        assertEquals(CommandOutcome.rejected(RejectionReason.CANCELLATION_NOT_PERMITTED), cancel("d3", 0));
    }

    @Test
    void allowsOnlyTheLeaseHolderToCancelAfterTheGrantAndReinstatesTheCache() {
        grant(TOKEN);

        assertEquals(CommandOutcome.rejected(RejectionReason.CANCELLATION_NOT_PERMITTED), cancel("d2", 0));
        assertTrue(cancel("d1", TOKEN).isApplied());

        assertTrue(drains.reinstated().containsKey("c1"));
    }
}
