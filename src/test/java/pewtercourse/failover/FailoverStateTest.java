package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FailoverStateTest {
    private final FailoverState state = new FailoverState();

    private static SiteStatusChange change(SiteStatus.Phase phase, SiteHealth health) {
        return new SiteStatusChange("s0", phase, health, 0, 0, 0);
    }

    @Test
    void rejectsAChangeThatBuildsOnAnOutdatedIndex() {
        assertTrue(state.changeStatus(1, change(SiteStatus.Phase.LOST, SiteHealth.CACHES)));

        assertFalse(state.changeStatus(2, change(SiteStatus.Phase.WHOLE, SiteHealth.WELL)));
        assertFalse(state.setHeld(3, "s0", true, 0));
        assertEquals(SiteStatus.Phase.LOST, state.status("s0").phase());
    }

    @Test
    void endsTheDrillWhenTheSiteIsReleased() {
        assertTrue(state.startDrill(1, "s0", 0));

        assertTrue(state.setHeld(2, "s0", false, 1));

        assertFalse(state.status("s0").drill());
    }
}
