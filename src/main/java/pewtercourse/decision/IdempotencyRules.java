package pewtercourse.decision;

/** Decides whether a request may be sent again. */
final class IdempotencyRules {
    private final RoutingContext context;

    IdempotencyRules(RoutingContext context) {
        this.context = context;
    }

    /** Whether the request can't take effect twice if it is sent to this endpoint now. */
    boolean allow(RequestState request, EndpointState endpoint) {
        boolean parallel = context.settings().features().parallelAttempts();
        if (request.isSafe()) {
            return parallel || request.liveAttempts == 0;
        }
        if (request.firstRunAt() == null) {
            return true;
        }
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || request.liveAttempts > 0 && !parallel
                || context.now() >= request.firstRunTime() + requestClass.idempotencyWindow()) {
            return false;
        }
        return deduplicates(requestClass.deduplicationScope(), request.firstRunAt(), endpoint);
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
