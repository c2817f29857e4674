package pewtercourse.director;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.cache.CachePool;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.Router;
import pewtercourse.discovery.Endpoint;
import pewtercourse.discovery.WatchEvent;

/**
 * The caches, parents and the origin as the feed last told, and who of them is out by hand. The only place where the
 * two are joined.
 */
final class ServiceRegistry {
    private final Map<Long, Endpoint> hosts = new HashMap<>();
    private SiteSettings site;
    private final CachePool pool;
    private final OperatorDrains out = new OperatorDrains();

    ServiceRegistry(SiteSettings site, CachePool pool) {
        this.site = site;
        this.pool = pool;
    }

    /** New settings: names of zones and kinds may mean something else. */
    void use(SiteSettings to) {
        site = to;
    }

    /** The whole list in the module's terms. */
    Router.Listed whole() {
        return new Router.Listed(
                Router.ListKind.WHOLE, hosts.values().stream().map(this::member).toList());
    }

    /** Applies a change and returns it in the module's terms. */
    Router.Listed apply(WatchEvent.EndpointUpdate change) {
        if (change.complete()) {
            List<Long> missing = new ArrayList<>(hosts.keySet());
            change.endpoints().forEach(h -> missing.remove(h.id()));
            missing.forEach(this::forget);
        }
        List<Router.Member> members = new ArrayList<>();
        for (Endpoint h : change.endpoints()) {
            Endpoint before = hosts.get(h.id());
            if (before != null && before.startedMs() != h.startedMs()) {
                pool.drop(h.id(), true); // Connections to the process that ran there before.
            }
            if (h.state() == Router.State.GONE || h.address() == null) {
                forget(h.id());
            } else {
                hosts.put(h.id(), h);
                pool.admit(h.id());
            }
            members.add(member(h));
        }
        return new Router.Listed(change.complete() ? Router.ListKind.WHOLE : Router.ListKind.CHANGES, members);
    }

    // One that is out is told as draining: the rule on drains, for requests and for sources, has one path.
    private Router.Member member(Endpoint h) {
        Router.State state = out.isOut(h.name()) && h.state() == Router.State.READY ? Router.State.DRAINING : h.state();
        return site.member(
                h.id(), h.zone(), h.kind(), h.cell(), state, h.weight(), out.started(h.name(), h.startedMs()) * 1000);
    }

    private void forget(long id) {
        Endpoint h = hosts.remove(id);
        if (h != null) {
            out.forget(h.name());
        }
        pool.drop(id, true);
    }

    private Endpoint named(String name) {
        return hosts.values().stream()
                .filter(h -> h.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    boolean knows(String name) {
        return named(name) != null || out.isOut(name);
    }

    String zoneOf(String name) {
        Endpoint h = named(name);
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
    Router.Listed takeOut(String name, long nowMs) {
        return out.enter(name, nowMs) ? told(named(name)) : null;
    }

    /** It may serve again: what is told is empty while it isn't listed. */
    Router.Listed putBack(String name, long nowMs) {
        Endpoint h = named(name);
        return out.exit(name, h == null ? 0 : h.startedMs(), nowMs) ? told(h) : null;
    }

    /** Takes over what another process was told; returns what the module is to be told. */
    Router.Listed follow(Map<String, Long> nowOut, Map<String, Long> back, long nowMs) {
        List<Router.Member> members = new ArrayList<>();
        for (String name : out.follow(nowOut, back, nowMs)) {
            members.addAll(told(named(name)).members());
        }
        return new Router.Listed(Router.ListKind.CHANGES, members);
    }

    OperatorDrains byHand() {
        return out;
    }

    // Connections to the process that ran before it was taken out, or came back, are of no use.
    private Router.Listed told(Endpoint h) {
        if (h != null) {
            pool.drop(h.id(), false);
        }
        return new Router.Listed(Router.ListKind.CHANGES, h == null ? List.of() : List.of(member(h)));
    }

    /** Null once it is gone. */
    Endpoint get(long id) {
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
        Endpoint h = hosts.get(id);
        return h != null && h.state() == Router.State.READY && !out.isOut(h.name());
    }
}
