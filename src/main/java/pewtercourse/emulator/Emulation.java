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
import pewtercourse.WallClock;

/**
 * Emulates several sites of caches, their control feeds and their clients on loopback sockets, for tests with real
 * directors. The parents and the origin are part of the model: a fill takes its time but opens no connection. The methods
 * may be called from any thread; the work is done on one event loop.
 */
public final class Emulation implements AutoCloseable {
    /**
     * The caches, the load and the directors of one site.
     *
     * @param capacity transfers that one of its caches runs at the same time at full speed
     * @param requestsPerSecond rate at which its clients send requests
     * @param directors addresses in the order in which its clients try them: first those of the site, then the others
     */
    public record SiteSpec(
            String name, int caches, double capacity, double requestsPerSecond, List<String> directors) {}

    private static final String HUB = "hub";
    private static final int OBJECT_COUNT = 500;
    private static final long TIMEOUT_S = 30;
    // A cold cache starts at about a quarter of its capacity and warms up quickly, so that an incident can be emulated
    // within a minute.
    private static final long WARM_UP_MICROS = 4_000_000;
    private static final long COLLAPSE_WINDOW_MICROS = 1_500_000;

    private final Vertx vertx;
    private final Context loop;
    private final List<SiteSpec> specs;
    private final Map<String, List<EmulatedCache>> caches = new TreeMap<>();
    private final Map<String, EmulatedFeed> feeds =
            new TreeMap<>(); // One for each site, so that directors can get different lists.
    private final Map<String, Clients> clients = new TreeMap<>();
    private final EmulationResults results = new EmulationResults();
    private long sequence = 1;

    /** Starts the caches and the feeds and publishes all caches; the clients start with {@link #startClients}. */
    public Emulation(List<SiteSpec> specs, long seed) throws Exception {
        this.vertx = Vertx.vertx();
        this.loop = vertx.getOrCreateContext();
        this.specs = List.copyOf(specs);
        List<Future<?>> listening = new ArrayList<>();
        UpstreamModel upstream =
                new UpstreamModel(new UpstreamModel.Settings(6 * specs.size(), 0.8, 30_000, 25_000, 8 * specs.size()));
        runOnLoop(() -> {
            int cacheNumber = 1;
            for (SiteSpec spec : specs) {
                List<EmulatedCache> siteCaches = new ArrayList<>();
                for (int i = 0; i < spec.caches(); i++) {
                    EmulatedCache cache = new EmulatedCache(
                            vertx,
                            String.format("s-%08x", cacheNumber++),
                            spec.name(),
                            new CacheModel(new CacheModel.Settings(
                                    spec.capacity(), 2.5, 400, 0.23, WARM_UP_MICROS, 2, COLLAPSE_WINDOW_MICROS)),
                            upstream,
                            results);
                    listening.add(cache.listen());
                    siteCaches.add(cache);
                }
                caches.put(spec.name(), siteCaches);
                EmulatedFeed feed = new EmulatedFeed(vertx);
                listening.add(feed.listen());
                feeds.put(spec.name(), feed);
                clients.put(
                        spec.name(),
                        new Clients(
                                vertx,
                                spec.name(),
                                spec.directors(),
                                seed * 31 + cacheNumber,
                                OBJECT_COUNT,
                                spec.requestsPerSecond(),
                                results));
            }
            return null;
        });
        for (Future<?> started : listening) {
            started.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        runOnLoop(() -> {
            List<JsonObject> hosts = new ArrayList<>();
            caches.values().forEach(siteCaches -> siteCaches.forEach(cache -> hosts.add(host(cache, "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                hosts.add(upstreamHost(String.format("s-%08x", 0x900 + i), "parent"));
            }
            hosts.add(upstreamHost(String.format("s-%08x", 0xa00), "origin"));
            feeds.values().forEach(f -> f.publish(EmulatedFeed.hosts(true, sequence, hosts)));
            return null;
        });
    }

    private <T> T runOnLoop(Callable<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.runOnContext(v -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonObject host(EmulatedCache cache, String health, long bornMs) {
        return new JsonObject()
                .put("host", cache.name)
                .put("dial", cache.address())
                .put("site", cache.site)
                .put("class", "box")
                .put("block", 0)
                .put("health", health)
                .put("share", 1)
                .put("born_ms", bornMs);
    }

    // A parent or the origin. Only caches fill from it, and their fills are modelled, so its address is never used.
    private static JsonObject upstreamHost(String name, String kind) {
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

    /** Returns the configuration file of a director at one of the sites. */
    public JsonObject config(String name, String site, String listen) {
        JsonArray zones = new JsonArray().add(HUB);
        JsonArray directorsByZone = new JsonArray().add(0);
        for (SiteSpec spec : specs) {
            zones.add(spec.name());
            directorsByZone.add(1);
        }
        JsonObject settings = new EmulatedSettings(WARM_UP_MICROS / 1e3, COLLAPSE_WINDOW_MICROS / 1e3)
                .of(0, specs.size(), site, zones, directorsByZone);
        // With known events the director starts as one that joins a fleet at work, without the long warm-up.
        JsonObject known = runOnLoop(() -> feeds.get(site).known());
        return new JsonObject()
                .put("name", name)
                .put("listen", listen)
                .put("seed", String.format("%016x", name.hashCode()))
                .put(
                        "limits",
                        new JsonObject().put("cores", 1.0).put("memory_mb", 192).put("sockets", 1_024))
                .put("feed", runOnLoop(() -> feeds.get(site).address()))
                .put("known", known)
                .put("settings", settings);
    }

    /** Starts the clients of all sites. */
    public void startClients() {
        runOnLoop(() -> {
            clients.values().forEach(Clients::start);
            return null;
        });
    }

    /** Stops sending requests; those without an answer stay open. */
    public void stopClients() {
        runOnLoop(() -> {
            clients.values().forEach(Clients::stop);
            return null;
        });
    }

    /** Returns the number of client requests without an answer. */
    public int openRequestCount() {
        return runOnLoop(() ->
                clients.values().stream().mapToInt(Clients::openRequestCount).sum());
    }

    /** Ends all caches of a site at the same time. The feeds report it only after {@link #publishHealth}. */
    public void killCaches(String site) {
        runOnLoop(() -> {
            caches.get(site).forEach(EmulatedCache::kill);
            return null;
        });
    }

    /** Starts the caches of a site again, cold and without copies, and publishes them as Ready. */
    public void restartCaches(String site) throws Exception {
        List<Future<Void>> starting = runOnLoop(
                () -> caches.get(site).stream().map(EmulatedCache::start).toList());
        for (Future<Void> started : starting) {
            started.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        publishHealth(site, "Ready");
    }

    /**
     * Publishes the health of all caches of a site.
     *
     * @param health Ready, Terminating or Gone
     * @param feedSites sites whose directors get the event; all sites if empty
     */
    public void publishHealth(String site, String health, String... feedSites) {
        runOnLoop(() -> {
            List<JsonObject> hosts = new ArrayList<>();
            caches.get(site).forEach(c -> {
                long bornMs = c.model.startedAt() == 0
                        ? 0
                        : WallClock.unixMillis() - (EmulatedCache.now() - c.model.startedAt()) / 1_000;
                hosts.add(host(c, health, bornMs));
                c.drainingSince = health.equals("Ready") || feedSites.length > 0 ? Long.MAX_VALUE : EmulatedCache.now();
            });
            sequence++;
            feeds.forEach((feedSite, feed) -> {
                if (feedSites.length == 0 || List.of(feedSites).contains(feedSite)) {
                    feed.publish(EmulatedFeed.hosts(false, sequence, hosts));
                }
            });
            return null;
        });
    }

    /** Makes each answer of a site's caches take {@code factor} times as long. */
    public void slowDownCaches(String site, double factor) {
        runOnLoop(() -> {
            caches.get(site).forEach(c -> c.slowDown(factor));
            return null;
        });
    }

    /** Returns how often a cache of a site collapsed because it was overloaded while cold. */
    public int coldOverloadCount(String site) {
        return runOnLoop(() -> caches.get(site).stream()
                .mapToInt(c -> c.model.coldOverloadCount())
                .sum());
    }

    /** Reads from the results so far; {@code reader} runs on the event loop. */
    public <T> T results(java.util.function.Function<EmulationResults, T> reader) {
        return runOnLoop(() -> reader.apply(results));
    }

    @Override
    public void close() {
        stopClients();
        vertx.close();
    }
}
