package pewtercourse.failover;

import java.util.Optional;

/**
 * Decides the next change of one site's status: when a loss is declared, and how fast the site's load returns. The
 * policy has no state, so equal situations lead to equal decisions.
 */
final class SiteStatusPolicy {
    // Limits on the recovery ramp. A site steps back from the first share of failed attempts on, and advances up
    // to the second share of failed attempts and the third share of delayed requests.
    private static final double MIN_STEP_BACK_FAILED_SHARE = 0.2;
    private static final double MAX_ADVANCE_FAILED_SHARE = 0.05;
    private static final double MAX_ADVANCE_DELAYED_SHARE = 0.5;
    // A step lasts this many times as long if there are too few attempts to assess it, for lack of clients.
    private static final int STEP_FACTOR_WITHOUT_ATTEMPTS = 3;

    private final FailoverTiming timing;

    SiteStatusPolicy(FailoverTiming timing) {
        this.timing = timing;
    }

    /** Returns the change that is due now, if any. */
    Optional<SiteStatusChange> nextChange(SiteSituation situation) {
        return switch (situation.status().phase()) {
            case WHOLE, IMPAIRED -> changeWhileServing(situation);
            case LOST -> changeWhileLost(situation);
            case RETURNING -> changeWhileReturning(situation);
        };
    }

    private Optional<SiteStatusChange> changeWhileServing(SiteSituation situation) {
        if (situation.status().drill()) {
            int lastStep = timing.lastStep();
            return Optional.of(
                    lastStep == 0 ? situation.lostInDrill() : situation.returning(Math.max(0, lastStep - 1)));
        }
        if (situation.health().lost()) {
            boolean lost = situation.healthAgeMicros() >= timing.lossDelayMicros() && situation.lossConfirmed();
            return changeIf(lost, situation.lost(situation.status().flaps()));
        }
        if (situation.health() == SiteHealth.WELL) {
            return changeWhileWell(situation);
        }
        boolean newImpairment = situation.health() != situation.status().health();
        return changeIf(
                newImpairment && situation.healthAgeMicros() >= timing.lossDelayMicros() / 2, situation.impaired());
    }

    private Optional<SiteStatusChange> changeWhileWell(SiteSituation situation) {
        SiteStatus status = situation.status();
        long stableAfterMicros = timing.maxRecoveryDelayMicros();
        boolean stable = status.flaps() > 0
                && situation.healthAgeMicros() >= stableAfterMicros
                && situation.statusAgeMicros() >= stableAfterMicros;
        boolean recovered =
                status.phase() == SiteStatus.Phase.IMPAIRED && situation.healthAgeMicros() >= timing.lossDelayMicros();
        return changeIf(stable || recovered, situation.whole(stable ? 0 : status.flaps()));
    }

    private Optional<SiteStatusChange> changeWhileLost(SiteSituation situation) {
        SiteStatus status = situation.status();
        long delay = timing.recoveryDelayMicros(status.flaps());
        boolean allowed = !status.held() && !status.drill();
        boolean recovered = situation.health().recoverable()
                && situation.healthAgeMicros() >= delay
                && situation.statusAgeMicros() >= delay;
        return changeIf(allowed && recovered, situation.returning(0));
    }

    private Optional<SiteStatusChange> changeWhileReturning(SiteSituation situation) {
        SiteStatus status = situation.status();
        if (situation.health().lost() && situation.healthAgeMicros() >= timing.lossDelayMicros() / 2) {
            return Optional.of(situation.lost(status.flaps() + 1));
        }
        // An observation covers some time before it was made, so observations just after a change are mostly
        // about the step before it.
        long settlingMicros = Math.min(timing.minRecoveryStepMicros(), timing.observationLifetimeMicros()) / 2;
        if (situation.statusAgeMicros() < settlingMicros) {
            return Optional.empty();
        }
        boolean minStepElapsed = situation.statusAgeMicros() >= timing.minRecoveryStepMicros();
        if (status.drill()) {
            return changeIf(minStepElapsed, status.step() == 0 ? situation.lostInDrill() : stepBack(situation));
        }
        if (manyAttemptsFail(situation.attempts())) {
            return Optional.of(status.step() == 0 ? situation.lost(status.flaps() + 1) : stepBack(situation));
        }
        return changeIf(!status.held() && minStepElapsed && mayAdvance(situation), advance(situation));
    }

    private SiteStatusChange advance(SiteSituation situation) {
        int step = situation.status().step();
        return step >= timing.lastStep() ? situation.whole(situation.status().flaps()) : situation.returning(step + 1);
    }

    private static SiteStatusChange stepBack(SiteSituation situation) {
        return situation.returning(situation.status().step() - 1);
    }

    private static boolean manyAttemptsFail(AttemptCounts attempts) {
        return attempts.hasEnoughCompleted() && attempts.failed() >= MIN_STEP_BACK_FAILED_SHARE * attempts.completed();
    }

    // Requests rejected for lack of capacity count as late, because cold caches are not ready for the next step.
    private boolean mayAdvance(SiteSituation situation) {
        AttemptCounts attempts = situation.attempts();
        if (!attempts.hasEnoughCompleted()) {
            return situation.statusAgeMicros() >= STEP_FACTOR_WITHOUT_ATTEMPTS * timing.minRecoveryStepMicros();
        }
        return attempts.failed() <= MAX_ADVANCE_FAILED_SHARE * attempts.completed()
                && attempts.delayed() <= MAX_ADVANCE_DELAYED_SHARE * attempts.total();
    }

    private static Optional<SiteStatusChange> changeIf(boolean due, SiteStatusChange change) {
        return due ? Optional.of(change) : Optional.empty();
    }
}
