package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks the texts of rejections, which operators and their scripts read. */
class RejectionReasonTest {
    @Test
    void textNamesTheSubjectIfThereIsOne() {
        assertEquals(
                Optional.of("no member holds the lease '100% quota'"),
                CommandOutcome.rejected(RejectionReason.LEASE_NOT_HELD, "100% quota")
                        .rejectionText());
        assertEquals(
                Optional.of("1024 maintenance requests are open, which is the maximum"),
                CommandOutcome.rejected(RejectionReason.MAINTENANCE_REQUEST_LIMIT_REACHED, 1_024)
                        .rejectionText());
    }

    @Test
    void everyReasonHasAText() {
        for (RejectionReason reason : RejectionReason.values()) {
            assertFalse(reason.text("subject").isBlank(), reason.name());
        }
    }

    @Test
    void reportsOnlyTheReasonSupersededAsSuperseded() {
        for (RejectionReason reason : RejectionReason.values()) {
            assertEquals(
                    reason == RejectionReason.SUPERSEDED,
                    CommandOutcome.rejected(reason).isSuperseded(),
                    reason.name());
        }
    }

    @Test
    void anAppliedCommandHasNoRejectionText() {
        assertEquals(Optional.empty(), CommandOutcome.APPLIED.rejectionText());
    }
}
