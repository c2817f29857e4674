package pewtercourse.decision;

/** Decides whether a request may be sent again, until when, and whether its client may be told to retry. */
final class IdempotencyRules {
    /** The end of the time in which an attempt may be sent, if that time has no end. */
    static final long UNLIMITED = Long.MAX_VALUE;

    private final RoutingContext context;
    private final IdempotencyKeyTable keys;

    IdempotencyRules(RoutingContext context, IdempotencyKeyTable keys) {
        this.context = context;
        this.keys = keys;
    }

    /** Whether the request can't take effect twice if it is sent to this endpoint now. */
    boolean allowsAttempt(RequestState request, EndpointState endpoint) {
        boolean parallelAllowed = context.settings().features().parallelAttempts();
        if (request.isSafe()) {
            return parallelAllowed || request.attemptsInFlight == 0;
        }
        PossibleRun firstRun = firstRun(request);
        if (firstRun == null) {
            return true;
        }
        return request.hasUsableKey()
                && (request.attemptsInFlight == 0 || parallelAllowed)
                && context.now() < repeatWindowEnd(request, firstRun)
                && deduplicates(request.requestClass.deduplicationScope(), firstRun, endpoint);
    }

    /**
     * Time by which the next attempt must be written and must have ended: a cache that receives it later may have forgotten
     * the key. {@link #UNLIMITED} if no attempt of the operation may have run before.
     */
    long nextAttemptEnd(RequestState request) {
        PossibleRun firstRun = request.isSafe() ? null : firstRun(request);
        return firstRun == null ? UNLIMITED : repeatWindowEnd(request, firstRun);
    }

    /** Whether the operation takes effect at most once if its client retries it after this delay, anywhere. */
    boolean allowsRejection(RequestState request, long maxRetryAfter) {
        PossibleRun firstRun = request.isSafe() ? null : firstRun(request);
        return firstRun == null
                || request.hasUsableKey()
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL
                        && context.now() + maxRetryAfter < repeatWindowEnd(request, firstRun);
    }

    /** Records an attempt of a request with a key, for the further tries of its client. */
    void onAttemptSent(RequestState request, PossibleRun run) {
        if (request.hasUsableKey()) {
            RequestClass requestClass = request.requestClass;
            long lastTry = run.sentAt() + Math.max(requestClass.idempotencyWindow(), requestClass.deadline());
            keys.onAttemptSent(request.arrival.idempotencyKey(), run, lastTry, context.now());
        }
    }

    /** Forgets an attempt that did not run. */
    void onAttemptNeverRan(RequestState request, PossibleRun run) {
        if (request.hasUsableKey()) {
            keys.onAttemptNeverRan(request.arrival.idempotencyKey(), run);
        }
    }

    // The first attempt that may have run, of this request or of an earlier try with the same key.
    private PossibleRun firstRun(RequestState request) {
        PossibleRun known =
                request.hasUsableKey() ? keys.firstRun(request.arrival.idempotencyKey(), context.now()) : null;
        return known != null ? known : request.firstRun();
    }

    // An earlier try may have run at another director. Then only the client knows that its first attempt is in time,
    // and
    // further ones count from the earliest time at which that try can have begun.
    private long repeatWindowEnd(RequestState request, PossibleRun firstRun) {
        boolean earlierTryElsewhere = request.arrival.clientRetry() && request.firstRun() != null;
        long start = earlierTryElsewhere
                ? Math.min(firstRun.sentAt(), earliestStartOfEarlierTry(request))
                : firstRun.sentAt();
        return start + request.requestClass.idempotencyWindow();
    }

    // All tries of a client end within the deadline of the class, which this one spends its own time of.
    private static long earliestStartOfEarlierTry(RequestState request) {
        long ownTime = request.arrival.expiresAt() - request.arrivedAt;
        return request.arrivedAt - Math.max(0, request.requestClass.deadline() - ownTime);
    }

    private static boolean deduplicates(DeduplicationScope scope, PossibleRun first, EndpointState other) {
        boolean sameZone = other.endpoint().zone() == first.zone();
        boolean sameCell = other.endpoint().cell() == first.cell();
        if (scope == DeduplicationScope.ALL && other.is(EndpointRole.CACHE)) {
            return true;
        }
        return sameZone && (scope == DeduplicationScope.ZONE || sameCell);
    }
}
