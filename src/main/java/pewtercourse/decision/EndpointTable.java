package pewtercourse.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The endpoints that are ready, by role. What was learned about an endpoint is kept while it stays ready, until
 * it restarts.
 */
final class EndpointTable {
    private final RoutingContext context;
    private final Map<Long, EndpointState> endpoints = new LinkedHashMap<>();
    private List<EndpointState> caches = new ArrayList<>();
    private List<EndpointState> parents = new ArrayList<>();
    private EndpointState origin;
    private int maxListedCaches;

    EndpointTable(RoutingContext context) {
        this.context = context;
    }

    /** Applies a complete endpoint list or changes to it, but no {@link EndpointUpdateKind#FAILED} call. */
    void update(EndpointsChanged change) {
        Map<Long, EndpointState> known = new LinkedHashMap<>(endpoints);
        if (change.kind() != EndpointUpdateKind.DELTA) {
            endpoints.clear();
        }
        for (Endpoint endpoint : change.endpoints()) {
            if (endpoint.lifecycle() == EndpointLifecycle.READY) {
                endpoints.put(endpoint.id(), stateOf(endpoint, known.get(endpoint.id())));
            } else {
                endpoints.remove(endpoint.id());
            }
        }
        int ownZone = context.settings().topology().zone();
        caches = select(e -> e.is(EndpointRole.CACHE) && e.endpoint().zone() == ownZone);
        parents = select(e -> e.is(EndpointRole.PARENT));
        origin = select(e -> e.is(EndpointRole.ORIGIN)).stream()
                .min(Comparator.comparingLong(EndpointState::id))
                .orElse(null);
        maxListedCaches = Math.max(maxListedCaches, caches.size());
    }

    private EndpointState stateOf(Endpoint endpoint, EndpointState known) {
        if (known == null || known.endpoint().startedAt() != endpoint.startedAt()) {
            return new EndpointState(endpoint, context.routersInZone());
        }
        known.setEndpoint(endpoint);
        return known;
    }

    private List<EndpointState> select(Predicate<EndpointState> condition) {
        return endpoints.values().stream().filter(condition).collect(Collectors.toCollection(ArrayList::new));
    }

    /** The caches of the router's zone, in the order in which {@link PlacementOrder} last sorted them. */
    List<EndpointState> caches() {
        return caches;
    }

    /** The parents, in the order in which {@link PlacementOrder} last sorted them. */
    List<EndpointState> parents() {
        return parents;
    }

    /** The origin with the lowest id; null if none is listed. */
    EndpointState origin() {
        return origin;
    }

    /** The largest number of caches listed at once so far. */
    int maxListedCaches() {
        return maxListedCaches;
    }

    int countEjected() {
        return (int)
                endpoints.values().stream().filter(e -> e.health.isEjected()).count();
    }
}
