package pewtercourse.failover;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.hash.StableHash;

/**
 * At one director: which site serves a request of its own clients by what is agreed, or whether it is rejected. While
 * the own site is whole that is always the own one. {@code now} is microseconds of a monotonic clock.
 */
public final class OverflowRouter {
    // While the own site is lost, one request per interval is tried there: else nobody would see it recover.
    private static final long TRIAL_INTERVAL_MICROS = 300_000;
    // Rejected clients are told to retry after this share of the latency objective, up to so many times as long:
    // spread, so that they don't come back all at once.
    private static final double RETRY_AFTER_SHARE = 0.25;
    private static final double RETRY_AFTER_SPREAD = 3;
    // Makes the order in which objects come back independent of the choice among targets (2^64 / golden ratio).
    private static final long RECOVERY_SALT = 0x9e3779b97f4a7c15L;

    private final Sites sites;
    private final String ownSite;
    private final long maxRetryAfterMicros;
    private final Random random;
    private final RequestPriorities priorities = new RequestPriorities();
    private final Map<String, LoadShedder> shedders = new HashMap<>(); // By target.
    private SortedMap<String, Double> targetWeights = new TreeMap<>();
    private SiteStatus ownStatus = SiteStatus.INITIAL;
    private long nextTrialAt;
    private boolean ownCachesListed = true;

    /**
     * @param ownSite             site of this director
     * @param maxRetryAfterMicros the longest retry delay that clients follow
     * @param seed                of the spread of retry delays
     */
    public OverflowRouter(Sites sites, String ownSite, long maxRetryAfterMicros, long seed) {
        this.sites = sites;
        this.ownSite = ownSite;
        this.maxRetryAfterMicros = maxRetryAfterMicros;
        this.random = new Random(seed);
    }

    /**
     * Follows a change of what is agreed.
     *
     * @param directors present directors of the own site, among which its allocations are divided; 0 counts as 1
     */
    public void follow(long now, FailoverState state, int directors) {
        ownStatus = state.status(ownSite);
        targetWeights = new TreeMap<>();
        if (!ownStatus.diverted()) {
            shedders.clear();
            return;
        }
        FailoverPlan.Distribution distribution = state.plan()
                .distributions(state.divertedSites())
                .getOrDefault(ownSite, FailoverPlan.Distribution.EMPTY);
        for (FailoverPlan.Allocation allocation : distribution.allocations()) {
            targetWeights.put(allocation.site(), allocation.load());
            shedders.computeIfAbsent(allocation.site(), site -> new LoadShedder(now))
                    .setLimit(allocation.max() / Math.max(1, directors));
        }
        shedders.keySet().retainAll(targetWeights.keySet());
    }

    /** Tells whether any cache of the own site is listed: without one, a trial there is in vain. */
    public void setOwnCachesListed(boolean listed) {
        ownCachesListed = listed;
    }

    /** Whether the load of the own site, or a part of it, is served elsewhere. */
    public boolean diverting() {
        return ownStatus.diverted();
    }

    /** Sites besides the own one that requests may go to now; a read-only view. */
    public Set<String> failoverTargets() {
        return Collections.unmodifiableSet(targetWeights.keySet());
    }

    /** Chooses the site of a request. */
    public OverflowDecision choose(long now, OverflowRequest request) {
        if (!ownStatus.diverted() || servedAtHome(now, request)) {
            return OverflowDecision.serveAt(ownSite);
        }
        double rank = priorities.rank(now, request);
        Optional<String> target = WeightedRendezvous.choose(request.objectHash(), targetWeights);
        if (target.isEmpty()) {
            // What only the origin can serve is tried by what is left of the own site.
            return request.unconditional() ? OverflowDecision.serveAt(ownSite) : reject(request);
        }
        if (!request.unconditional() && request.tooLate(now)) {
            return reject(request);
        }
        boolean admitted =
                shedders.get(target.get()).admit(now, rank, request.serviceMicros(), request.unconditional());
        return admitted ? OverflowDecision.serveAt(target.get()) : reject(request);
    }

    private boolean servedAtHome(long now, OverflowRequest request) {
        if (ownStatus.phase() == SiteStatus.Phase.RETURNING) {
            // Objects come back in one order, so that a further step moves none away again.
            double place = StableHash.toUnitInterval(request.objectHash() ^ RECOVERY_SALT);
            return place < sites.timing().recoverySteps().get(ownStatus.step());
        }
        boolean trialAllowed = ownCachesListed && !ownStatus.drill();
        if (!trialAllowed || request.unconditional() || request.revalidation() || now < nextTrialAt) {
            return false;
        }
        nextTrialAt = now + TRIAL_INTERVAL_MICROS;
        return true;
    }

    private OverflowDecision reject(OverflowRequest request) {
        double factor = 1 + (RETRY_AFTER_SPREAD - 1) * random.nextDouble();
        double retryAfter = RETRY_AFTER_SHARE * request.objectiveMicros() * factor;
        return OverflowDecision.reject(Math.min(maxRetryAfterMicros, (long) retryAfter));
    }
}
