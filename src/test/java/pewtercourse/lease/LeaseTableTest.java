package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LeaseTableTest {
    private static final CommandOutcome STALE = CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);

    private final LeaseTable leases = new LeaseTable();

    private void assign(String lease, String holder) {
        LeaseRecord current = leases.get(lease);
        assertTrue(leases.assign(new Command.AssignLease(lease, holder, current.token(), current.renewals()))
                .isApplied());
    }

    @Test
    void issuesIncreasingTokensAcrossAllLeases() {
        assign("a", "d1");
        assign("b", "d2");
        assign("a", "d2");

        assertEquals(3, leases.get("a").token());
        assertEquals(2, leases.get("b").token());
    }

    @Test
    void rejectsTheAssignmentOfALeaseThatWasRenewedInTheMeantime() {
        assign("a", "d1");
        leases.renew("d1", new Command.RenewLease("a", 1, 0));

        CommandOutcome outcome = leases.assign(new Command.AssignLease("a", "d2", 1, 0));

        assertEquals(CommandOutcome.rejected(RejectionReason.LEASE_CHANGED), outcome);
        assertEquals("d1", leases.get("a").holder());
    }

    @Test
    void rejectsARenewalByAnotherMemberOrWithAnotherToken() {
        assign("a", "d1");

        assertEquals(STALE, leases.renew("d2", new Command.RenewLease("a", 1, 0)));
        assertEquals(STALE, leases.renew("d1", new Command.RenewLease("a", 0, 0)));
        assertEquals(0, leases.get("a").renewals());
    }

    @Test
    void countsARepeatedRenewalOnce() {
        assign("a", "d1");
        Command.RenewLease renewal = new Command.RenewLease("a", 1, 0);

        assertTrue(leases.renew("d1", renewal).isApplied());

        assertEquals(CommandOutcome.rejected(RejectionReason.ALREADY_RENEWED), leases.renew("d1", renewal));
        assertEquals(1, leases.get("a").renewals());
    }

    @Test
    void invalidatesTheTokenOfTheFormerHolderOnRelease() {
        assign("a", "d1");

        assertTrue(leases.release("d1", new Command.ReleaseLease("a", 1, "")).isApplied());

        assertFalse(leases.isCurrent("a", 1));
        assertEquals(new LeaseRecord("", 2, 0, false, "d1"), leases.get("a"));
    }

    @Test
    void rejectsATransferRequestWhileNoMemberHoldsTheLease() {
        assertEquals(STALE, leases.requestTransfer(new Command.RequestTransfer("a", 0, "d2")));
        assign("a", "d1");

        assertTrue(leases.requestTransfer(new Command.RequestTransfer("a", 1, "d2"))
                .isApplied());

        assertEquals(new LeaseRecord("d1", 1, 0, true, "d2"), leases.get("a"));
    }
}
