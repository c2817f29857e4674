package pewtercourse.director;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import pewtercourse.Log;
import pewtercourse.cache.ConnectionPool;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointUpdateKind;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;

/**
 * The caches, parents and the origin as the control feed last listed them, combined with the drains of
 * operators. No other class combines the two. Confined to the event loop.
 */
final class ServiceRegistry {
    private final Map<Long, WatchedEndpoint> endpointsById = new HashMap<>();
    private final Map<InetSocketAddress, Long> latestIdByAddress = new HashMap<>(); // Of the listed endpoints.
    private SiteSettings settings;
    private final ConnectionPool pool;
    private final StartTimes startTimes;
    private final OperatorDrains drains = new OperatorDrains();

    ServiceRegistry(SiteSettings settings, ConnectionPool pool, StartTimes startTimes) {
        this.settings = settings;
        this.pool = pool;
        this.startTimes = startTimes;
    }

    /** Replaces the settings, by which the names of zones and kinds are resolved. */
    void updateSettings(SiteSettings newSettings) {
        settings = newSettings;
    }

    /** The complete endpoint list, as an event for a router. */
    EndpointsChanged snapshot() {
        return new EndpointsChanged(
                EndpointUpdateKind.SNAPSHOT,
                endpointsById.values().stream().map(this::toEndpoint).toList());
    }

    /** Applies a change of the endpoint list and returns it as an event for a router. */
    EndpointsChanged apply(WatchEvent.EndpointUpdate update) {
        if (update.complete()) {
            List<Long> unlisted = new ArrayList<>(endpointsById.keySet());
            update.endpoints().forEach(endpoint -> unlisted.remove(endpoint.id()));
            unlisted.forEach(this::remove);
        }
        List<Endpoint> changed = new ArrayList<>();
        update.endpoints().forEach(endpoint -> changed.addAll(apply(endpoint)));
        return new EndpointsChanged(
                update.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, changed);
    }

    /** Applies what is told of one endpoint; returns it, and the one whose address it has taken over. */
    private List<Endpoint> apply(WatchedEndpoint endpoint) {
        WatchedEndpoint previous = endpointsById.get(endpoint.id());
        if (previous != null && !isSameProcess(previous, endpoint)) {
            pool.closeIdleConnections(endpoint.id(), true); // They lead to the process before the restart.
            latestIdByAddress.remove(previous.address(), endpoint.id());
        }
        if (endpoint.state() == EndpointLifecycle.GONE || endpoint.address() == null) {
            remove(endpoint.id());
            return List.of(toEndpoint(endpoint));
        }
        WatchedEndpoint other = latestAt(endpoint.address(), endpoint.id());
        if (other != null && other.startedMs() > endpoint.startedMs()) {
            return List.of(gone(endpoint)); // A later process listens at its address.
        }
        List<Endpoint> changed = new ArrayList<>();
        if (other != null && other.startedMs() < endpoint.startedMs()) {
            changed.add(gone(other));
        }
        endpointsById.put(endpoint.id(), endpoint);
        latestIdByAddress.put(endpoint.address(), endpoint.id());
        pool.addCache(endpoint.id());
        changed.add(toEndpoint(endpoint));
        return changed;
    }

    private static boolean isSameProcess(WatchedEndpoint previous, WatchedEndpoint endpoint) {
        return previous.startedMs() == endpoint.startedMs() && Objects.equals(previous.address(), endpoint.address());
    }

    // Null if no other endpoint has this address.
    private WatchedEndpoint latestAt(InetSocketAddress address, long exceptId) {
        Long id = latestIdByAddress.get(address);
        return id == null || id == exceptId ? null : endpointsById.get(id);
    }

    // A request to it would reach the process that has its address now.
    private Endpoint gone(WatchedEndpoint endpoint) {
        Log.info("discovery.address_taken", "gone", endpoint.name(), "address", endpoint.address());
        remove(endpoint.id());
        return toEndpoint(new WatchedEndpoint(
                endpoint.id(),
                endpoint.name(),
                endpoint.address(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                EndpointLifecycle.GONE,
                endpoint.weight(),
                endpoint.startedMs()));
    }

    // A router sees an endpoint that an operator drained as DRAINING, so that the same rules apply to it, as a
    // target of requests and as a fill source.
    private Endpoint toEndpoint(WatchedEndpoint endpoint) {
        EndpointLifecycle lifecycle = drains.isDrained(endpoint.name()) && endpoint.state() == EndpointLifecycle.READY
                ? EndpointLifecycle.DRAINING
                : endpoint.state();
        return settings.endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                lifecycle,
                endpoint.weight(),
                startTimes.startedAt(
                        endpoint.id(), endpoint.startedMs(), drains.lastStart(endpoint.name(), endpoint.startedMs())));
    }

    private void remove(long id) {
        WatchedEndpoint endpoint = endpointsById.remove(id);
        if (endpoint != null) {
            drains.forgetStart(endpoint.name());
            latestIdByAddress.remove(endpoint.address(), id);
        }
        pool.closeIdleConnections(id, true);
    }

    private WatchedEndpoint endpointNamed(String name) {
        return endpointsById.values().stream()
                .filter(endpoint -> endpoint.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private long listedStart(String name) {
        WatchedEndpoint endpoint = endpointNamed(name);
        return endpoint == null ? 0 : endpoint.startedMs();
    }

    /** Whether an endpoint of this name is listed or drained. */
    boolean knowsEndpoint(String name) {
        return endpointNamed(name) != null || drains.isDrained(name);
    }

    /** Zone of a listed endpoint; empty if it is not listed or has none. */
    String zoneOf(String name) {
        WatchedEndpoint endpoint = endpointNamed(name);
        return endpoint == null || endpoint.zone() == null ? "" : endpoint.zone();
    }

    /** Number of caches listed in a zone. */
    int zoneSize(String zone) {
        return (int) endpointsById.values().stream()
                .filter(endpoint -> zone.equals(endpoint.zone()) && settings.isCache(endpoint.kind()))
                .count();
    }

    /** Number of caches that may serve now, by zone. */
    Map<String, Integer> readyCaches() {
        return countReady(true);
    }

    /** Number of parents that may be filled from now, by zone. */
    Map<String, Integer> readyParents() {
        return countReady(false);
    }

    private Map<String, Integer> countReady(boolean countCaches) {
        Map<String, Integer> readyByZone = new HashMap<>();
        endpointsById.values().stream()
                .filter(endpoint -> isReady(endpoint.id())
                        && (countCaches ? settings.isCache(endpoint.kind()) : settings.isParent(endpoint.kind())))
                .forEach(endpoint -> readyByZone.merge(endpoint.zone(), 1, Integer::sum));
        return readyByZone;
    }

    /** Drains an endpoint; returns the event for a router, or null if nothing changes. */
    EndpointsChanged drainEndpoint(String name, long nowMs) {
        return drains.drain(name, listedStart(name), nowMs) ? reportChange(endpointNamed(name)) : null;
    }

    /**
     * Ends the drain of an endpoint; returns the event for a router, which is empty while the endpoint is not
     * listed, or null if nothing changes.
     */
    EndpointsChanged reinstateEndpoint(String name, long nowMs) {
        return drains.reinstate(name, listedStart(name), nowMs) ? reportChange(endpointNamed(name)) : null;
    }

    /** Adopts the drains and reinstatements of another process; returns the event for a router. */
    EndpointsChanged adoptDrains(Map<String, Long> drained, Map<String, Long> reinstated, long nowMs) {
        List<Endpoint> changed = new ArrayList<>();
        for (String name : drains.adopt(drained, reinstated, this::listedStart, nowMs)) {
            changed.addAll(reportChange(endpointNamed(name)).endpoints());
        }
        return new EndpointsChanged(EndpointUpdateKind.DELTA, changed);
    }

    OperatorDrains drains() {
        return drains;
    }

    // The idle connections to the endpoint may lead to a process that ran before the drain or the
    // reinstatement: they are closed.
    private EndpointsChanged reportChange(WatchedEndpoint endpoint) {
        if (endpoint != null) {
            pool.closeIdleConnections(endpoint.id(), false);
        }
        return new EndpointsChanged(
                EndpointUpdateKind.DELTA, endpoint == null ? List.of() : List.of(toEndpoint(endpoint)));
    }

    /** The listed endpoint of this number; null if there is none. */
    WatchedEndpoint get(long id) {
        return endpointsById.get(id);
    }

    /** Number of listed endpoints. */
    int size() {
        return endpointsById.size();
    }

    /** Number of listed endpoints that operators have drained. */
    int drainedSize() {
        return (int) endpointsById.values().stream()
                .filter(endpoint -> drains.isDrained(endpoint.name()))
                .count();
    }

    /** Whether an endpoint may be used now: ready by the control feed and not drained by an operator. */
    boolean isReady(long id) {
        WatchedEndpoint endpoint = endpointsById.get(id);
        return endpoint != null && endpoint.state() == EndpointLifecycle.READY && !drains.isDrained(endpoint.name());
    }
}
