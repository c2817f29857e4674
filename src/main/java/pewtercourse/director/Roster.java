package pewtercourse.director;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.cache.CachePool;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.Router;
import pewtercourse.feed.FeedEvent;

/** The caches, parents and the origin as the feed last told: their names, addresses and states. */
final class Roster {
    private final Map<Long, FeedEvent.Host> hosts = new HashMap<>();
    private final SiteSettings site;
    private final CachePool pool;

    Roster(SiteSettings site, CachePool pool) {
        this.site = site;
        this.pool = pool;
    }

    /** Applies a change and returns it in the module's terms. */
    Router.Listed apply(FeedEvent.Members change) {
        if (change.whole()) {
            List<Long> missing = new ArrayList<>(hosts.keySet());
            change.hosts().forEach(h -> missing.remove(h.id()));
            missing.forEach(this::forget);
        }
        List<Router.Member> members = new ArrayList<>();
        for (FeedEvent.Host h : change.hosts()) {
            FeedEvent.Host before = hosts.get(h.id());
            if (before != null && before.startedMs() != h.startedMs()) {
                pool.drop(h.id(), true); // Connections to the process that ran there before.
            }
            if (h.state() == Router.State.GONE || h.address() == null) {
                forget(h.id());
            } else {
                hosts.put(h.id(), h);
                pool.admit(h.id());
            }
            members.add(site.member(h.id(), h.zone(), h.kind(), h.cell(), h.state(), h.weight(),
                    h.startedMs() * 1000));
        }
        return new Router.Listed(change.whole() ? Router.ListKind.WHOLE : Router.ListKind.CHANGES, members);
    }

    private void forget(long id) {
        hosts.remove(id);
        pool.drop(id, true);
    }

    /** Null once it is gone. */
    FeedEvent.Host get(long id) {
        return hosts.get(id);
    }

    boolean ready(long id) {
        FeedEvent.Host h = hosts.get(id);
        return h != null && h.state() == Router.State.READY;
    }
}
