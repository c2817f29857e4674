package pewtercourse.failover;

import java.util.Optional;

/**
 * Decides the next change of one site's status: when a loss is declared, and how fast its load comes back. Without
 * state: equal situations, equal decisions.
 */
final class SiteStatusPolicy {
    // Shares of a site's attempts on the recovery ramp: failed ones from which it steps back, failed ones up to which
    // it goes on, delayed ones up to which it goes on.
    private static final double STEP_BACK_FAILED_SHARE = 0.2;
    private static final double STEP_ON_FAILED_SHARE = 0.05;
    private static final double STEP_ON_DELAYED_SHARE = 0.5;
    // Without any attempts to judge by, as where no client asks, a step lasts this many times as long.
    private static final int STEP_FACTOR_WITHOUT_ATTEMPTS = 3;

    private final FailoverTiming timing;

    SiteStatusPolicy(FailoverTiming timing) {
        this.timing = timing;
    }

    /** The change that is due now, if any. */
    Optional<SiteStatusChange> nextChange(SiteSituation situation) {
        return switch (situation.status().phase()) {
            case WHOLE, IMPAIRED -> whileServing(situation);
            case LOST -> whileLost(situation);
            case RETURNING -> whileReturning(situation);
        };
    }

    private Optional<SiteStatusChange> whileServing(SiteSituation situation) {
        if (situation.status().drill()) {
            int lastStep = timing.lastStep();
            return Optional.of(
                    lastStep == 0 ? situation.lostInDrill() : situation.returning(Math.max(0, lastStep - 1)));
        }
        if (situation.health().lost()) {
            boolean lost = situation.healthAgeMicros() >= timing.lossDelayMicros() && situation.lossConfirmed();
            return when(lost, situation.lost(situation.status().flaps()));
        }
        if (situation.health() == SiteHealth.WELL) {
            return whileWell(situation);
        }
        boolean newImpairment = situation.health() != situation.status().health();
        return when(newImpairment && situation.healthAgeMicros() >= timing.lossDelayMicros() / 2, situation.impaired());
    }

    private Optional<SiteStatusChange> whileWell(SiteSituation situation) {
        SiteStatus status = situation.status();
        long calmAfter = timing.maxRecoveryDelayMicros();
        boolean calm = status.flaps() > 0
                && situation.healthAgeMicros() >= calmAfter
                && situation.statusAgeMicros() >= calmAfter;
        boolean recovered =
                status.phase() == SiteStatus.Phase.IMPAIRED && situation.healthAgeMicros() >= timing.lossDelayMicros();
        return when(calm || recovered, situation.whole(calm ? 0 : status.flaps()));
    }

    private Optional<SiteStatusChange> whileLost(SiteSituation situation) {
        SiteStatus status = situation.status();
        long delay = timing.recoveryDelayMicros(status.flaps());
        boolean allowed = !status.held() && !status.drill();
        boolean recovered = situation.health().recoverable()
                && situation.healthAgeMicros() >= delay
                && situation.statusAgeMicros() >= delay;
        return when(allowed && recovered, situation.returning(0));
    }

    private Optional<SiteStatusChange> whileReturning(SiteSituation situation) {
        SiteStatus status = situation.status();
        if (situation.health().lost() && situation.healthAgeMicros() >= timing.lossDelayMicros() / 2) {
            return Optional.of(situation.lost(status.flaps() + 1));
        }
        // An observation covers some time before it was made: what it says of a step is known once that is over.
        long settling = Math.min(timing.minRecoveryStepMicros(), timing.observationLifetimeMicros()) / 2;
        if (situation.statusAgeMicros() < settling) {
            return Optional.empty();
        }
        boolean stepOver = situation.statusAgeMicros() >= timing.minRecoveryStepMicros();
        if (status.drill()) {
            return when(stepOver, status.step() == 0 ? situation.lostInDrill() : stepBack(situation));
        }
        if (failsAtThisStep(situation.attempts())) {
            return Optional.of(status.step() == 0 ? situation.lost(status.flaps() + 1) : stepBack(situation));
        }
        return when(!status.held() && stepOver && bearsThisStep(situation), stepOn(situation));
    }

    private SiteStatusChange stepOn(SiteSituation situation) {
        int step = situation.status().step();
        return step >= timing.lastStep() ? situation.whole(situation.status().flaps()) : situation.returning(step + 1);
    }

    private static SiteStatusChange stepBack(SiteSituation situation) {
        return situation.returning(situation.status().step() - 1);
    }

    private static boolean failsAtThisStep(AttemptCounts attempts) {
        return attempts.enoughCompleted() && attempts.failed() >= STEP_BACK_FAILED_SHARE * attempts.completed();
    }

    // Requests rejected for lack of capacity count as late ones: cold caches can't bear the next step yet.
    private boolean bearsThisStep(SiteSituation situation) {
        AttemptCounts attempts = situation.attempts();
        if (!attempts.enoughCompleted()) {
            return situation.statusAgeMicros() >= STEP_FACTOR_WITHOUT_ATTEMPTS * timing.minRecoveryStepMicros();
        }
        return attempts.failed() <= STEP_ON_FAILED_SHARE * attempts.completed()
                && attempts.delayed() <= STEP_ON_DELAYED_SHARE * attempts.total();
    }

    private static Optional<SiteStatusChange> when(boolean due, SiteStatusChange change) {
        return due ? Optional.of(change) : Optional.empty();
    }
}
