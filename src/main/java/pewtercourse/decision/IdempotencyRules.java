package pewtercourse.decision;

/** Decides whether a request may be sent again. */
final class IdempotencyRules {
    private final RoutingContext context;

    IdempotencyRules(RoutingContext context) {
        this.context = context;
    }

    /** Whether the request can't take effect twice if it is sent to this endpoint now. */
    boolean allowsAttempt(RequestState request, EndpointState endpoint) {
        boolean parallelAllowed = context.settings().features().parallelAttempts();
        if (request.isSafe()) {
            return parallelAllowed || request.attemptsInFlight == 0;
        }
        if (request.firstRunEndpoint() == null) {
            return true;
        }
        RequestClass requestClass = request.requestClass;
        if (request.idempotency() == Idempotency.NON_IDEMPOTENT
                || request.attemptsInFlight > 0 && !parallelAllowed
                || context.now() >= request.firstRunSentAt() + requestClass.idempotencyWindow()) {
            return false;
        }
        return deduplicates(requestClass.deduplicationScope(), request.firstRunEndpoint(), endpoint);
    }

    private static boolean deduplicates(DeduplicationScope scope, EndpointState first, EndpointState other) {
        boolean sameZone = other.endpoint().zone() == first.endpoint().zone();
        boolean sameCell = other.endpoint().cell() == first.endpoint().cell();
        if (scope == DeduplicationScope.ALL && other.is(EndpointRole.CACHE)) {
            return true;
        }
        return sameZone && (scope == DeduplicationScope.ZONE || sameCell);
    }
}
