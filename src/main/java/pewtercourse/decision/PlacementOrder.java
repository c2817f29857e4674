package pewtercourse.decision;

import java.util.Comparator;
import java.util.List;

/**
 * Orders endpoints for an object by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
 * Schindelhauer and Schomaker 2005). Every router computes the same order, and a change of the endpoint list
 * moves only the objects that it must.
 */
final class PlacementOrder {
    private static final Comparator<EndpointState> BY_SCORE = (a, b) -> a.placementScore != b.placementScore
            ? Double.compare(b.placementScore, a.placementScore)
            : Long.compare(a.id(), b.id());

    private final RoutingContext context;

    PlacementOrder(RoutingContext context) {
        this.context = context;
    }

    /** Sorts the list in place: the endpoints that should serve the object come first. */
    void sort(List<EndpointState> endpoints, long object) {
        boolean weighted = context.settings().upstream().weightsAreCapacities();
        for (EndpointState endpoint : endpoints) {
            long hash = Hashing.mix(object ^ Hashing.mix(endpoint.id()));
            endpoint.placementScore = -endpoint.capacity(weighted) / Math.log(unitInterval(hash));
        }
        endpoints.sort(BY_SCORE);
    }

    /** Converts the upper 53 bits to a number in (0, 1]. */
    private static double unitInterval(long hash) {
        return ((hash >>> 11) + 1) * 0x1.0p-53;
    }
}
