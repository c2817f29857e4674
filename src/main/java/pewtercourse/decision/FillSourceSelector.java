package pewtercourse.decision;

/** Chooses from where a cache fills what it does not hold: a sibling that holds it, else a parent, else the origin. */
final class FillSourceSelector {
    /** How choosy a look through the parents is. */
    private enum Pass {
        /** Reliable, and not tried before. */
        PREFERRED,
        /** Not tried before. */
        UNTRIED,
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

    /** A cache that probably holds what the target lacks; null if there is none, or if it may not be asked. */
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

    /** The object's parent, or the origin if no parent is usable; null if there is neither. */
    EndpointState selectParent(RequestState request) {
        order.sort(endpoints.parents(), request.objectHash);
        for (Pass pass : Pass.values()) {
            for (EndpointState parent : endpoints.parents()) {
                if (parent.health.isUsable(context.now())
                        && slowStart.hasRoom(parent, request)
                        && suits(request, parent, pass)) {
                    return parent;
                }
            }
        }
        return endpoints.origin();
    }

    private boolean suits(RequestState request, EndpointState parent, Pass pass) {
        boolean untried = !request.failedSources.contains(parent);
        return switch (pass) {
            case PREFERRED -> untried && outliers.isReliableFor(request, parent);
            case UNTRIED -> untried;
            case ANY -> true;
        };
    }
}
