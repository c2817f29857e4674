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
 * Chooses, at one director, the site that serves a request of the director's own clients, or rejects the request.
 * Follows the agreed state; the director's own site serves every request unless its load is diverted. {@code now} is in
 * microseconds of a monotonic clock.
 */
public final class OverflowRouter {
    // While the own site is lost, one request per interval is tried there to notice its recovery.
    private static final long TRIAL_INTERVAL_MICROS = 300_000;
    // The retry delay of rejected clients is this share of the latency objective, times a random factor from 1 up
    // to the maximum. The random factor keeps the clients from retrying all at once.
    private static final double RETRY_AFTER_SHARE = 0.25;
    private static final double MAX_RETRY_AFTER_FACTOR = 3;
    // Makes the order in which objects return to the own site independent of the choice among targets (2^64
    // divided by the golden ratio).
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
     * @param ownSite             the director's site
     * @param maxRetryAfterMicros maximum retry delay that clients follow
     * @param seed                seed of the random retry delays
     */
    public OverflowRouter(Sites sites, String ownSite, long maxRetryAfterMicros, long seed) {
        this.sites = sites;
        this.ownSite = ownSite;
        this.maxRetryAfterMicros = maxRetryAfterMicros;
        this.random = new Random(seed);
    }

    /**
     * Applies a change of the agreed state.
     *
     * @param directors number of directors present at the own site, which divide its allocations equally; 0 counts as 1
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

    /** Sets whether any cache of the own site is listed; without one, no requests are tried there. */
    public void setOwnCachesListed(boolean listed) {
        ownCachesListed = listed;
    }

    /** Whether other sites serve the load of the own site, or a part of it. */
    public boolean diverting() {
        return ownStatus.diverted();
    }

    /** The other sites that may serve requests now; a read-only view. */
    public Set<String> failoverTargets() {
        return Collections.unmodifiableSet(targetWeights.keySet());
    }

    /** Chooses the site that serves a request, or rejects the request. */
    public OverflowDecision choose(long now, OverflowRequest request) {
        if (!ownStatus.diverted() || servedAtOwnSite(now, request)) {
            return OverflowDecision.serveAt(ownSite);
        }
        double rank = priorities.rank(now, request);
        Optional<String> target = WeightedRendezvous.choose(request.objectHash(), targetWeights);
        if (target.isEmpty()) {
            // Only the origin can serve such a request, so whatever still works at the own site tries it.
            return request.unconditional() ? OverflowDecision.serveAt(ownSite) : reject(request);
        }
        if (!request.unconditional() && request.tooLate(now)) {
            return reject(request);
        }
        boolean admitted =
                shedders.get(target.get()).admit(now, rank, request.serviceMicros(), request.unconditional());
        return admitted ? OverflowDecision.serveAt(target.get()) : reject(request);
    }

    private boolean servedAtOwnSite(long now, OverflowRequest request) {
        if (ownStatus.phase() == SiteStatus.Phase.RETURNING) {
            // Objects return in a fixed order, so an object that has returned stays at further steps.
            double returnPosition = StableHash.toUnitInterval(request.objectHash() ^ RECOVERY_SALT);
            return returnPosition < sites.timing().recoverySteps().get(ownStatus.step());
        }
        boolean trialAllowed = ownCachesListed && !ownStatus.drill();
        if (!trialAllowed || request.unconditional() || request.revalidation() || now < nextTrialAt) {
            return false;
        }
        nextTrialAt = now + TRIAL_INTERVAL_MICROS;
        return true;
    }

    private OverflowDecision reject(OverflowRequest request) {
        double factor = 1 + (MAX_RETRY_AFTER_FACTOR - 1) * random.nextDouble();
        double retryAfterMicros = RETRY_AFTER_SHARE * request.objectiveMicros() * factor;
        return OverflowDecision.reject(Math.min(maxRetryAfterMicros, (long) retryAfterMicros));
    }
}
