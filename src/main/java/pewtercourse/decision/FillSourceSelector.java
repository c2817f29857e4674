package pewtercourse.decision;

/**
 * Chooses the source from which a cache fills an object that it does not hold: a sibling that holds the object,
 * otherwise a parent, otherwise the origin.
 */
final class FillSourceSelector {
    /** How selective a pass over the parents is. */
    private enum Pass {
        /** Only reliable parents from which no fill of the request has failed. */
        PREFERRED,
        /** Only parents from which no fill of the request has failed. */
        UNTRIED,
        /** Any usable parent. */
        ANY
    }

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final PlacementOrder order;
    private final ContentHints hints;
    private final SlowStartBudget slowStart;
    private final OutlierDetector outliers;

    FillSourceSelector(
            RoutingContext context,
            EndpointTable endpoints,
            ContentHints hints,
            SlowStartBudget slowStart,
            OutlierDetector outliers) {
        this.context = context;
        this.endpoints = endpoints;
        this.order = new PlacementOrder(context);
        this.hints = hints;
        this.slowStart = slowStart;
        this.outliers = outliers;
    }

    /**
     * Returns a cache that probably holds the object that the target lacks; null if there is none or if siblings
     * may not be used.
     */
    EndpointState selectSibling(RequestState request, EndpointState target) {
        boolean allowed = context.settings().upstream().siblingFillPolicy() != SiblingFillPolicy.NONE;
        if (!allowed || request.parentOnly || !request.isCacheable() || hints.isLikelyHeld(request, target)) {
            return null;
        }
        for (EndpointState cache : endpoints.caches()) {
            if (cache != target
                    && hints.isLikelyHeld(request, cache)
                    && !cache.health.isEjected()
                    && slowStart.hasRoom(cache, request)) {
                return cache;
            }
        }
        return null;
    }

    /**
     * Returns the first usable parent in the object's placement order, or the origin if no parent is usable;
     * null if there is neither.
     */
    EndpointState selectParent(RequestState request) {
        order.sort(endpoints.parents(), request.objectHash);
        for (Pass pass : Pass.values()) {
            for (EndpointState parent : endpoints.parents()) {
                if (parent.health.isUsable(context.now())
                        && slowStart.hasRoom(parent, request)
                        && isEligible(request, parent, pass)) {
                    return parent;
                }
            }
        }
        return endpoints.origin();
    }

    private boolean isEligible(RequestState request, EndpointState parent, Pass pass) {
        boolean untried = !request.failedSources.contains(parent);
        return switch (pass) {
            case PREFERRED -> untried && outliers.isReliableFor(request, parent);
            case UNTRIED -> untried;
            case ANY -> true;
        };
    }
}
