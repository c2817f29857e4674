package pewtercourse.emulator;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Several sites of caches, their control feed and their clients, on loopback sockets, for real directors to serve against.
 * Each site's parents and the origin are behind its caches: a fill takes its time and goes nowhere else. Calls may come
 * from any thread; all happens on one event loop.
 */
public final class Emulation implements AutoCloseable {
    /**
     * @param bears     transfers at once of one of its caches
     * @param perSecond requests of its clients
     * @param directors addresses that its clients ask first, and then those of other sites
     */
    public record SiteSpec(String name, int caches, double bears, double perSecond, List<String> directors) {}

    private static final String HUB = "hub";
    private static final int OBJECTS = 500;
    private static final long WAIT_S = 30;
    // Cold at a quarter, warm within a short while: an incident is rehearsed in a minute.
    private static final long WARMS_IN = 4_000_000, TIP_AFTER = 1_500_000;

    private final Vertx vertx;
    private final Context loop;
    private final List<SiteSpec> specs;
    private final Map<String, List<EmulatedCache>> caches = new TreeMap<>();
    private final Map<String, EmulatedFeed> feeds =
            new TreeMap<>(); // One for each site's directors, so that they may differ.
    private final Map<String, Clients> clients = new TreeMap<>();
    private final EmulationResults results = new EmulationResults();
    private long seq = 1;

    public Emulation(List<SiteSpec> specs, long seed) throws Exception {
        this.vertx = Vertx.vertx();
        this.loop = vertx.getOrCreateContext();
        this.specs = List.copyOf(specs);
        List<Future<?>> up = new ArrayList<>();
        UpstreamModel upstream =
                new UpstreamModel(new UpstreamModel.Settings(6 * specs.size(), 0.8, 30_000, 25_000, 8 * specs.size()));
        on(() -> {
            int number = 1;
            for (SiteSpec s : specs) {
                List<EmulatedCache> of = new ArrayList<>();
                for (int i = 0; i < s.caches(); i++) {
                    EmulatedCache c = new EmulatedCache(
                            vertx,
                            String.format("s-%08x", number++),
                            s.name(),
                            new CacheModel(new CacheModel.Settings(s.bears(), 2.5, 400, 0.23, WARMS_IN, 2, TIP_AFTER)),
                            upstream,
                            results);
                    up.add(c.listen());
                    of.add(c);
                }
                caches.put(s.name(), of);
                EmulatedFeed feed = new EmulatedFeed(vertx);
                up.add(feed.listen());
                feeds.put(s.name(), feed);
                clients.put(
                        s.name(),
                        new Clients(
                                vertx, s.name(), s.directors(), seed * 31 + number, OBJECTS, s.perSecond(), results));
            }
            return null;
        });
        for (Future<?> f : up) {
            f.toCompletionStage().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
        }
        on(() -> {
            List<JsonObject> all = new ArrayList<>();
            caches.values().forEach(of -> of.forEach(c -> all.add(host(c, "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                all.add(fixed(String.format("s-%08x", 0x900 + i), "parent"));
            }
            all.add(fixed(String.format("s-%08x", 0xa00), "origin"));
            feeds.values().forEach(f -> f.publish(EmulatedFeed.hosts(true, seq, all)));
            return null;
        });
    }

    private <T> T on(Callable<T> what) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.runOnContext(v -> {
            try {
                done.complete(what.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(WAIT_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonObject host(EmulatedCache c, String health, long bornMs) {
        return new JsonObject()
                .put("host", c.name)
                .put("dial", c.dial())
                .put("site", c.site)
                .put("class", "box")
                .put("block", 0)
                .put("health", health)
                .put("share", 1)
                .put("born_ms", bornMs);
    }

    // A parent or the origin: caches fill from it by themselves, so nobody calls its address.
    private static JsonObject fixed(String name, String kind) {
        return new JsonObject()
                .put("host", name)
                .put("dial", "127.0.0.1:9")
                .put("site", HUB)
                .put("class", kind)
                .put("block", 0)
                .put("health", "Ready")
                .put("share", 1)
                .put("born_ms", 0);
    }

    /** A director's configuration file, at one of the sites. */
    public JsonObject config(String name, String site, String listen) {
        JsonArray classes = new JsonArray(), zones = new JsonArray().add(HUB), seats = new JsonArray().add(0);
        for (Catalogue.RequestClass c : Catalogue.CLASSES) {
            classes.add(new JsonObject()
                    .put("Name", c.name())
                    .put("Effect", c.through() ? "side_effect" : "pure")
                    .put("Aim", c.aimMs())
                    .put("AimStretch", c.stretch())
                    .put("Deadline", c.deadlineMs())
                    .put("Worth", c.worth()));
        }
        for (SiteSpec s : specs) {
            zones.add(s.name());
            seats.add(1);
        }
        JsonObject settings = new JsonObject()
                .put("Me", 0)
                .put("Instances", specs.size())
                .put("Zone", site)
                .put("Zones", zones)
                .put("Skus", new JsonArray().add("box").add("parent").add("origin"))
                .put("Discovery", "push")
                .put("Weights", "silent")
                .put("Classes", classes)
                .put(
                        "Domain",
                        new JsonObject()
                                .put("CanJoin", true)
                                .put("ClientKbPerS", Catalogue.KB_PER_MS * 1_000)
                                .put(
                                        "GoesThrough",
                                        new JsonArray().add(false).add(false).add(true))
                                .put(
                                        "GoodFor",
                                        new JsonArray().add(0.0).add(8_000.0).add(0.0))
                                .put(
                                        "ClassGrace",
                                        new JsonArray().add(0.0).add(20_000.0).add(0.0))
                                .put(
                                        "InParts",
                                        new JsonArray().add(false).add(false).add(false))
                                .put("MasterKind", 2)
                                .put("MidKind", 1)
                                .put("MayPassBy", false)
                                .put("ParentColdFrom", 0.065)
                                .put("ParentLimitFactor", 2.0)
                                .put("ParentWarmsIn", 21_000.0)
                                .put("PurgeTakes", 6_000.0)
                                .put("Says", "hit")
                                .put("SeatsByZone", seats)
                                .put("Siblings", "location"))
                .put(
                        "Permissions",
                        new JsonObject()
                                .put("Cancel", true)
                                .put("ConnectTimeout", 400.0)
                                .put("IdleClose", 15_000.0)
                                .put("MaxRetryAfter", 500.0)
                                .put("MayTell", false)
                                .put("ParallelTries", false)
                                .put("RetryAfter", true)
                                .put("TryLimit", 6))
                .put(
                        "Rules",
                        new JsonObject()
                                .put("AnswerSlack", 8.0)
                                .put("ColdFrom", 0.23)
                                .put("DrainGrace", 500.0)
                                .put("FallMultiple", 2.0)
                                .put("TipAfter", TIP_AFTER / 1e3)
                                .put("WarmUp", WARMS_IN / 1e3));
        // As after a change of the list: a start into a fleet at work, without the long warm-up.
        JsonObject known = on(() -> feeds.get(site).known());
        return new JsonObject()
                .put("name", name)
                .put("listen", listen)
                .put("seed", String.format("%016x", name.hashCode()))
                .put(
                        "limits",
                        new JsonObject().put("cores", 1.0).put("memory_mb", 192).put("sockets", 1_024))
                .put("feed", on(() -> feeds.get(site).address()))
                .put("known", known)
                .put("settings", settings);
    }

    public void startClients() {
        on(() -> {
            clients.values().forEach(Clients::start);
            return null;
        });
    }

    public void stopClients() {
        on(() -> {
            clients.values().forEach(Clients::stop);
            return null;
        });
    }

    /** Clients' requests without an answer yet. */
    public int openRequestCount() {
        return on(() -> clients.values().stream().mapToInt(Clients::openRequestCount).sum());
    }

    /** All caches of a site end at once; the list tells of it later, by {@link #publishHealth}. */
    public void killCaches(String site) {
        on(() -> {
            caches.get(site).forEach(EmulatedCache::kill);
            return null;
        });
    }

    /** They start again, cold and empty, and the list tells. */
    public void restartCaches(String site) throws Exception {
        List<Future<Void>> up =
                on(() -> caches.get(site).stream().map(EmulatedCache::start).toList());
        for (Future<Void> f : up) {
            f.toCompletionStage().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
        }
        publishHealth(site, "Ready");
    }

    /** The list tells of all caches of a site: Ready, Terminating or Gone, to the directors of all sites or only of some. */
    public void publishHealth(String site, String health, String... to) {
        on(() -> {
            List<JsonObject> hosts = new ArrayList<>();
            caches.get(site).forEach(c -> {
                long born = c.model.startedAt() == 0
                        ? 0
                        : System.currentTimeMillis() - (EmulatedCache.now() - c.model.startedAt()) / 1_000;
                hosts.add(host(c, health, born));
                c.drainingSince = health.equals("Ready") || to.length > 0 ? Long.MAX_VALUE : EmulatedCache.now();
            });
            seq++;
            feeds.forEach((at, f) -> {
                if (to.length == 0 || List.of(to).contains(at)) {
                    f.publish(EmulatedFeed.hosts(false, seq, hosts));
                }
            });
            return null;
        });
    }

    /** Answers of a site's caches take so many times as long. */
    public void slowDownCaches(String site, double times) {
        on(() -> {
            caches.get(site).forEach(c -> c.slow(times));
            return null;
        });
    }

    /** Cold caches of a site that fell. */
    public int coldOverloadCount(String site) {
        return on(() -> caches.get(site).stream().mapToInt(c -> c.model.coldOverloadCount()).sum());
    }

    /** What was seen so far; {@code look} runs on the event loop. */
    public <T> T results(java.util.function.Function<EmulationResults, T> look) {
        return on(() -> look.apply(results));
    }

    @Override
    public void close() {
        stopClients();
        vertx.close();
    }
}
