package pewtercourse.director;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.cache.ConnectionPool;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointUpdateKind;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;

/**
 * The caches, parents and the origin as the feed last told, and who of them is out by hand. The only place where the
 * two are joined.
 */
final class ServiceRegistry {
    private final Map<Long, WatchedEndpoint> hosts = new HashMap<>();
    private SiteSettings site;
    private final ConnectionPool pool;
    private final OperatorDrains out = new OperatorDrains();

    ServiceRegistry(SiteSettings site, ConnectionPool pool) {
        this.site = site;
        this.pool = pool;
    }

    /** New settings: names of zones and kinds may mean something else. */
    void use(SiteSettings to) {
        site = to;
    }

    /** The whole list in the module's terms. */
    EndpointsChanged whole() {
        return new EndpointsChanged(
                EndpointUpdateKind.SNAPSHOT,
                hosts.values().stream().map(this::member).toList());
    }

    /** Applies a change and returns it in the module's terms. */
    EndpointsChanged apply(WatchEvent.EndpointUpdate change) {
        if (change.complete()) {
            List<Long> missing = new ArrayList<>(hosts.keySet());
            change.endpoints().forEach(h -> missing.remove(h.id()));
            missing.forEach(this::forget);
        }
        List<Endpoint> members = new ArrayList<>();
        for (WatchedEndpoint h : change.endpoints()) {
            WatchedEndpoint before = hosts.get(h.id());
            if (before != null && before.startedMs() != h.startedMs()) {
                pool.closeIdleConnections(h.id(), true); // Connections to the process that ran there before.
            }
            if (h.state() == EndpointLifecycle.GONE || h.address() == null) {
                forget(h.id());
            } else {
                hosts.put(h.id(), h);
                pool.addCache(h.id());
            }
            members.add(member(h));
        }
        return new EndpointsChanged(
                change.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, members);
    }

    // One that is out is told as draining: the rule on drains, for requests and for sources, has one path.
    private Endpoint member(WatchedEndpoint h) {
        EndpointLifecycle state =
                out.isOut(h.name()) && h.state() == EndpointLifecycle.READY ? EndpointLifecycle.DRAINING : h.state();
        return site.member(
                h.id(), h.zone(), h.kind(), h.cell(), state, h.weight(), out.started(h.name(), h.startedMs()) * 1000);
    }

    private void forget(long id) {
        WatchedEndpoint h = hosts.remove(id);
        if (h != null) {
            out.forget(h.name());
        }
        pool.closeIdleConnections(id, true);
    }

    private WatchedEndpoint named(String name) {
        return hosts.values().stream()
                .filter(h -> h.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    boolean knows(String name) {
        return named(name) != null || out.isOut(name);
    }

    String zoneOf(String name) {
        WatchedEndpoint h = named(name);
        return h == null || h.zone() == null ? "" : h.zone();
    }

    int zoneSize(String zone) {
        return (int) hosts.values().stream()
                .filter(h -> zone.equals(h.zone()) && site.isCache(h.kind()))
                .count();
    }

    /** Caches that may serve now, by zone. */
    Map<String, Integer> readyCaches() {
        return ready(true);
    }

    /** Parents that may be filled from now, by zone. */
    Map<String, Integer> readyParents() {
        return ready(false);
    }

    private Map<String, Integer> ready(boolean caches) {
        Map<String, Integer> ready = new HashMap<>();
        hosts.values().stream()
                .filter(h -> ready(h.id()) && (caches ? site.isCache(h.kind()) : site.isParent(h.kind())))
                .forEach(h -> ready.merge(h.zone(), 1, Integer::sum));
        return ready;
    }

    /** Takes a member out; returns what the module is to be told, null if nothing changes. */
    EndpointsChanged takeOut(String name, long nowMs) {
        return out.enter(name, nowMs) ? told(named(name)) : null;
    }

    /** It may serve again: what is told is empty while it isn't listed. */
    EndpointsChanged putBack(String name, long nowMs) {
        WatchedEndpoint h = named(name);
        return out.exit(name, h == null ? 0 : h.startedMs(), nowMs) ? told(h) : null;
    }

    /** Takes over what another process was told; returns what the module is to be told. */
    EndpointsChanged follow(Map<String, Long> nowOut, Map<String, Long> back, long nowMs) {
        List<Endpoint> members = new ArrayList<>();
        for (String name : out.follow(nowOut, back, nowMs)) {
            members.addAll(told(named(name)).endpoints());
        }
        return new EndpointsChanged(EndpointUpdateKind.DELTA, members);
    }

    OperatorDrains byHand() {
        return out;
    }

    // Connections to the process that ran before it was taken out, or came back, are of no use.
    private EndpointsChanged told(WatchedEndpoint h) {
        if (h != null) {
            pool.closeIdleConnections(h.id(), false);
        }
        return new EndpointsChanged(EndpointUpdateKind.DELTA, h == null ? List.of() : List.of(member(h)));
    }

    /** Null once it is gone. */
    WatchedEndpoint get(long id) {
        return hosts.get(id);
    }

    int size() {
        return hosts.size();
    }

    /** How many of them are out by hand. */
    int listedOut() {
        return (int) hosts.values().stream().filter(h -> out.isOut(h.name())).count();
    }

    boolean ready(long id) {
        WatchedEndpoint h = hosts.get(id);
        return h != null && h.state() == EndpointLifecycle.READY && !out.isOut(h.name());
    }
}
