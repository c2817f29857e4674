package pewtercourse.soak;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import pewtercourse.WallClock;
import pewtercourse.emulator.CacheModel;
import pewtercourse.emulator.Catalogue;
import pewtercourse.emulator.EmulatedCache;
import pewtercourse.emulator.EmulatedFeed;
import pewtercourse.emulator.EmulatedSettings;
import pewtercourse.emulator.EmulationResults;
import pewtercourse.emulator.EventLoopCalls;
import pewtercourse.emulator.FaultProxy;
import pewtercourse.emulator.SystemFaults;
import pewtercourse.emulator.UpstreamModel;

/**
 * Plays one plan: starts directors as processes, emulated caches, feeds and clients around them and a proxy on each link,
 * carries out the faults and collects the oracle's verdict. All emulation runs on one event loop.
 */
final class SoakRun implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 20_000;
    private static final String ZONE = "edge-1";
    private static final String HUB = "hub";
    private static final double CACHE_CAPACITY = 8;
    private static final double LINK_TRANSFERS_PER_CACHE = 3;
    private static final double COLD_SHARE = 0.23;
    private static final long WARM_UP_MS = 6_000;
    private static final int MEMORY_MB = 192;
    private static final int DESCRIPTORS = 1_024;
    private static final long MICROS = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NOTIFIED_BY = 7 * MICROS;
    /** Longest deadline, counted as 3 s at most, plus 0.7 s. */
    private static final long KILL_AFTER_TERM_MS = 3_700;

    /** Time between two stops of a director that gets little processor time. */
    private static final int STARVED_RUN_MS = 20;
    /** Time in which such a director answers what has waited. */
    private static final int STARVED_CATCH_UP_MS = 1_000;

    /** Time of an event from the feed to the other end of its proxy, at most. */
    private static final long EVENT_ON_THE_WAY = 5_000;

    private static final long LAG_CHECK_MS = 10;
    private static final long LAG_MEMORY = 2 * MICROS;
    private static final long START_TIMEOUT_S = 60;

    private final FaultPlan plan;
    private final Path folder;
    private final String classPath;
    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final NetClient proxyClient = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    private final SoakOracle oracle = new SoakOracle();
    private final List<EmulatedCache> caches = new ArrayList<>();
    private final List<DirectorInstance> directors = new ArrayList<>();
    private final List<SoakClients> clients = new ArrayList<>();
    private final List<EmulatedFeed> feeds = new ArrayList<>();
    private final List<FaultProxy> feedLinks = new ArrayList<>();
    private final List<List<FaultProxy>> cacheLinks = new ArrayList<>(); // By director and cache.
    private final Map<String, Long> cacheStartedMs = new HashMap<>();
    private final Map<String, Integer> directorById = new HashMap<>(); // Of the last attempt of a request.
    private final List<String> events = new ArrayList<>();
    private final long[] sequences;
    private final boolean[] cacheBusy;
    private long startedAt;
    private long lag;
    private long lagAt;

    /** Creates a run whose directors are started from this class path. */
    SoakRun(FaultPlan plan, Path folder, String classPath) {
        this.classPath = classPath;
        this.plan = plan;
        this.folder = folder;
        this.sequences = new long[plan.directors()];
        this.cacheBusy = new boolean[plan.caches()];
    }

    private static long now() {
        return EmulatedCache.now();
    }

    // By how much the observer itself was late in the last moments.
    private long slack() {
        return now() - lagAt < LAG_MEMORY ? lag : 0;
    }

    private void watchLag(long expectedAt) {
        long late = now() - expectedAt;
        if (late > lag || now() - lagAt > LAG_MEMORY) {
            lag = Math.max(0, late);
            lagAt = now();
        }
        vertx.setTimer(LAG_CHECK_MS, timer -> watchLag(now()));
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        return EventLoopCalls.call(loop, action);
    }

    /** Plays the plan and returns what came of it. */
    SoakResult play() throws Exception {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("plan.json"), plan.toJson().encodePrettily());
        Optional<Path> library = SystemFaults.compile(folder);
        for (Future<Void> listening : onLoop(this::createServers)) {
            EventLoopCalls.await(listening);
        }
        onLoop(() -> {
            for (int director = 0; director < plan.directors(); director++) {
                publish(director, allHosts(director), true);
            }
            return null;
        });
        for (int number = 0; number < plan.directors(); number++) {
            createDirector(number, library.orElse(null));
        }
        for (DirectorInstance director : directors) {
            onLoop(() -> {
                start(director);
                return null;
            });
        }
        awaitAllReady();
        onLoop(() -> {
            startedAt = now();
            watchLag(now());
            clients.forEach(SoakClients::start);
            plan.faults().forEach(fault -> vertx.setTimer(Math.max(1, fault.atMs()), timer -> begin(fault)));
            pollResources();
            return null;
        });
        TimeUnit.SECONDS.sleep(plan.seconds());
        onLoop(() -> {
            clients.forEach(SoakClients::stop);
            return null;
        });
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
        while (onLoop(() -> clients.stream().mapToInt(SoakClients::open).sum()) > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return onLoop(() -> new SoakResult(plan, oracle.violations(), oracle.counts(), startedAt, List.copyOf(events)));
    }

    private void awaitAllReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (!onLoop(() -> directors.stream().allMatch(d -> d.state == DirectorInstance.State.READY))) {
            if (System.nanoTime() > deadline) {
                throw new IOException("not all directors of seed " + plan.seed() + " became ready");
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    // ---- Set-up ----

    private List<Future<Void>> createServers() {
        List<Future<Void>> listening = new ArrayList<>();
        UpstreamModel upstream = new UpstreamModel(
                new UpstreamModel.Settings(6 * plan.caches(), 0.8, 30_000, 25_000, 8 * plan.caches()));
        EmulationResults results = new EmulationResults();
        for (int i = 0; i < plan.caches(); i++) {
            CacheModel model = new CacheModel(new CacheModel.Settings(
                    CACHE_CAPACITY, 2.5, 400, COLD_SHARE, WARM_UP_MS * MICROS_PER_MILLI, 2, SoakOracle.COLD_WINDOW));
            EmulatedCache cache =
                    new EmulatedCache(vertx, String.format("s-%08x", i + 1), ZONE, model, upstream, results);
            cache.setListener(new CacheRecorder());
            listening.add(cache.listen());
            caches.add(cache);
        }
        for (int director = 0; director < plan.directors(); director++) {
            EmulatedFeed feed = new EmulatedFeed(vertx);
            listening.add(feed.listen());
            feeds.add(feed);
            FaultProxy feedLink = new FaultProxy(vertx, proxyClient, feed::port, bytes -> {});
            listening.add(feedLink.listen());
            feedLinks.add(feedLink);
            List<FaultProxy> links = new ArrayList<>();
            for (EmulatedCache cache : caches) {
                int number = director;
                AttemptHeads heads = new AttemptHeads(head -> recordAttempt(number, cache.name(), head));
                FaultProxy link = new FaultProxy(vertx, proxyClient, cache::port, heads::read);
                listening.add(link.listen());
                links.add(link);
            }
            cacheLinks.add(links);
        }
        return listening;
    }

    private void createDirector(int number, Path library) throws Exception {
        SystemFaults faults = library == null ? null : SystemFaults.of(library, folder.resolve("faults-" + number));
        DirectorInstance director =
                new DirectorInstance(number, directorAddress(number), folder, faults, MEMORY_MB, classPath);
        directors.add(director);
        clients.add(onLoop(() -> new SoakClients(
                vertx,
                director,
                oracle,
                SoakRun::now,
                this::slack,
                plan.seed() * 31 + number,
                plan.requestsPerSecond() / plan.directors())));
    }

    // An address of its own for each plan and soak process, and a port that the system gives to no connection.
    private String directorAddress(int number) {
        long last = Math.floorMod(plan.seed(), 250L);
        long middle = Math.floorMod(ProcessHandle.current().pid(), 250L);
        return "127.91." + middle + '.' + (last + 1) + ':' + (FIRST_PORT + number);
    }

    private JsonObject config(DirectorInstance director, int tryLimit) {
        JsonArray zones = new JsonArray().add(HUB).add(ZONE);
        JsonArray directorsByZone = new JsonArray().add(0).add(plan.directors());
        JsonObject settings = new EmulatedSettings(WARM_UP_MS, SoakOracle.COLD_WINDOW / (double) MICROS_PER_MILLI)
                .of(director.number, plan.directors(), ZONE, zones, directorsByZone);
        double linkKbPerSecond = LINK_TRANSFERS_PER_CACHE * plan.caches() * Catalogue.KB_PER_MS * 1_000;
        settings.getJsonObject("Domain")
                .put("PipeKbPerS", new JsonArray().add(0).add(linkKbPerSecond));
        settings.getJsonObject("Permissions").put("TryLimit", tryLimit);
        return new JsonObject()
                .put("name", "n" + director.number)
                .put("listen", director.listen)
                .put("seed", String.format("%016x", plan.seed() * 101 + director.number))
                .put(
                        "limits",
                        new JsonObject()
                                .put("cores", 1.0)
                                .put("memory_mb", MEMORY_MB)
                                .put("sockets", DESCRIPTORS))
                .put("feed", feedLinks.get(director.number).address())
                .put("known", feeds.get(director.number).known())
                .put("settings", settings);
    }

    // ---- The endpoint list ----

    private JsonObject host(int director, int cache, String health) {
        EmulatedCache emulated = caches.get(cache);
        return EmulatedFeed.host(
                emulated.name(),
                cacheLinks.get(director).get(cache).address(),
                ZONE,
                "box",
                health,
                cacheStartedMs.getOrDefault(emulated.name(), 0L));
    }

    private List<JsonObject> allHosts(int director) {
        List<JsonObject> hosts = new ArrayList<>();
        for (int cache = 0; cache < plan.caches(); cache++) {
            hosts.add(host(director, cache, "Ready"));
        }
        hosts.add(EmulatedFeed.host("s-00000901", HOST + ":9", HUB, "parent", "Ready", 0));
        hosts.add(EmulatedFeed.host("s-00000902", HOST + ":9", HUB, "parent", "Ready", 0));
        hosts.add(EmulatedFeed.host("s-00000a01", HOST + ":9", HUB, "origin", "Ready", 0));
        return hosts;
    }

    private void publish(int director, List<JsonObject> hosts, boolean complete) {
        feeds.get(director).publish(EmulatedFeed.hosts(complete, ++sequences[director], hosts));
    }

    // When a director counts as notified of an event that is published now.
    private long notifiedAt(int director) {
        boolean hears =
                !feedLinks.get(director).isHeld() && directors.get(director).state != DirectorInstance.State.STARTING;
        return hears ? now() : now() + NOTIFIED_BY;
    }

    private void publishReady(int cache, boolean started) {
        for (int director = 0; director < plan.directors(); director++) {
            publish(director, List.of(host(director, cache, "Ready")), false);
            oracle.readyNotified(director, caches.get(cache).name(), notifiedAt(director), started);
        }
    }

    private void publishUnlisted(int director, int cache, String health) {
        publish(director, List.of(host(director, cache, health)), false);
        oracle.unlistedNotified(director, caches.get(cache).name(), notifiedAt(director));
    }

    // ---- Records ----

    private void recordAttempt(int director, String cache, Map<String, String> head) {
        String id = head.getOrDefault("request-id", "");
        if (id.isEmpty()) {
            return;
        }
        directorById.put(id, director);
        oracle.attemptSent(
                id,
                director,
                cache,
                now(),
                MICROS_PER_MILLI * Long.parseLong(head.getOrDefault("timeout-ms", "0")),
                MICROS_PER_MILLI * Long.parseLong(head.getOrDefault("x-max-age-ms", "0")),
                slack());
    }

    private final class CacheRecorder implements EmulatedCache.Listener {
        @Override
        public void requestArrived(EmulatedCache cache, HttpServerRequest request) {
            String id = request.getHeader("Request-Id");
            oracle.attemptArrived(cache.name(), directorById.getOrDefault(id, -1), now());
        }

        @Override
        public void ran(String requestId) {
            oracle.count("orders");
            oracle.ran(requestId, now());
        }

        @Override
        public void collapsed(EmulatedCache cache) {
            note("collapsed " + cache.name());
            oracle.collapsed(cache.name(), now());
        }
    }

    private void note(String event) {
        events.add((now() - startedAt) / MICROS_PER_MILLI + " ms " + event);
    }

    // ---- Faults ----

    private void begin(Fault fault) {
        note(fault.kind() + " director " + fault.director() + " cache " + fault.cache() + " " + fault.lengthMs()
                + " ms, " + fault.amount());
        oracle.count("faults");
        DirectorInstance director = directors.get(fault.director());
        FaultProxy link = cacheLinks.get(fault.director()).get(fault.cache());
        switch (fault.kind()) {
            case CACHE_RESTART -> restartCaches(List.of(fault.cache()), fault.lengthMs());
            case ALL_CACHES_RESTART -> {
                List<Integer> all = new ArrayList<>();
                for (int cache = 0; cache < plan.caches(); cache++) {
                    all.add(cache);
                }
                restartCaches(all, fault.lengthMs());
            }
            case CACHE_DRAIN -> drain(fault.cache(), fault.lengthMs());
            case LIST_FLAP -> flap(fault);
            case PURGE -> purge(fault);
            case LINK_HELD -> hold(List.of(link), fault.lengthMs());
            case CACHE_SILENT ->
                hold(cacheLinks.stream().map(links -> links.get(fault.cache())).toList(), fault.lengthMs());
            case DIRECTOR_CUT_OFF -> hold(cacheLinks.get(fault.director()), fault.lengthMs());
            case LINK_SLOW -> {
                link.setDelayMs(fault.amount());
                vertx.setTimer(fault.lengthMs(), timer -> link.setDelayMs(0));
            }
            case LINK_RESET -> link.reset();
            case FEED_HELD -> holdFeed(fault);
            case FEED_RESET -> feedLinks.get(fault.director()).reset();
            case CLIENTS_LEAVE -> clients.get(fault.director()).leaveUntil(now() + fault.lengthMs() * MICROS_PER_MILLI);
            case CROWD -> clients.get(fault.director()).crowd(fault.amount(), fault.lengthMs());
            case TERMINATE -> terminate(director);
            case KILL -> killWithoutWarning(director);
            case RELOAD -> reload(director);
            case PAUSE -> pause(director, fault.lengthMs());
            case STARVED -> starve(director, fault);
            default -> injectSystemFault(director, fault);
        }
    }

    private void injectSystemFault(DirectorInstance director, Fault fault) {
        if (director.faults == null) {
            return;
        }
        switch (fault.kind()) {
            case CLOCK_STEP -> director.faults.stepWallClockTo(fault.amount());
            case ACCEPT_FAILS ->
                director.faults.fail(SystemFaults.Call.ACCEPT, fault.amount(), SystemFaults.Errno.ENFILE);
            case CONNECT_FAILS ->
                director.faults.fail(SystemFaults.Call.CONNECT, fault.amount(), SystemFaults.Errno.EADDRNOTAVAIL);
            case WAITS_INTERRUPTED -> director.faults.interruptWaits(fault.amount());
            case SHORT_TRANSFERS -> director.faults.shortenTransfers(fault.amount());
            default -> throw new IllegalArgumentException("not a fault of the system: " + fault.kind());
        }
    }

    private void hold(List<FaultProxy> links, long lengthMs) {
        links.forEach(FaultProxy::hold);
        vertx.setTimer(lengthMs, timer -> links.forEach(FaultProxy::release));
    }

    // What the feed wrote just before has not passed the proxy yet: it counts as told when the page has it at the
    // latest.
    private void holdFeed(Fault fault) {
        hold(List.of(feedLinks.get(fault.director())), fault.lengthMs());
        oracle.notificationsHeld(fault.director(), now() - EVENT_ON_THE_WAY - slack(), now() + NOTIFIED_BY);
    }

    private void restartCaches(List<Integer> numbers, long downMs) {
        List<Integer> free = numbers.stream().filter(cache -> !cacheBusy[cache]).toList();
        for (int cache : free) {
            cacheBusy[cache] = true;
            caches.get(cache).kill();
        }
        vertx.setTimer(Math.max(1, downMs), timer -> free.forEach(this::startCache));
    }

    private void startCache(int cache) {
        EmulatedCache emulated = caches.get(cache);
        emulated.start().onComplete(started -> {
            if (started.failed()) {
                vertx.setTimer(50, timer -> startCache(cache)); // The port is not free yet.
                return;
            }
            cacheStartedMs.put(emulated.name(), WallClock.unixMillis());
            vertx.setTimer(240, timer -> {
                publishReady(cache, true);
                cacheBusy[cache] = false;
            });
        });
    }

    private void drain(int cache, long lengthMs) {
        if (cacheBusy[cache]) {
            return;
        }
        cacheBusy[cache] = true;
        for (int director = 0; director < plan.directors(); director++) {
            publishUnlisted(director, cache, "Terminating");
        }
        vertx.setTimer(lengthMs, timer -> {
            publishReady(cache, false);
            cacheBusy[cache] = false;
        });
    }

    private void flap(Fault fault) {
        if (cacheBusy[fault.cache()]) {
            return;
        }
        cacheBusy[fault.cache()] = true;
        publishUnlisted(fault.director(), fault.cache(), "Gone");
        vertx.setTimer(fault.lengthMs(), timer -> {
            publish(fault.director(), List.of(host(fault.director(), fault.cache(), "Ready")), false);
            oracle.readyNotified(
                    fault.director(), caches.get(fault.cache()).name(), notifiedAt(fault.director()), false);
            cacheBusy[fault.cache()] = false;
        });
    }

    private void purge(Fault fault) {
        List<String> objects = clients.get(fault.director()).recentObjects();
        for (int i = 0; i < Math.min(fault.amount(), objects.size()); i++) {
            String object = objects.get(i);
            JsonObject purge = new JsonObject().put("key", object).put("at", WallClock.unixMillis());
            for (int director = 0; director < plan.directors(); director++) {
                feeds.get(director).publish(new JsonObject().put("purge", purge));
                oracle.purgeNotified(director, object, now(), notifiedAt(director));
            }
        }
    }

    // ---- Processes ----

    private void start(DirectorInstance director) {
        director.state = DirectorInstance.State.STARTING;
        director.configure(config(director, 6));
        director.startedAt = now();
        vertx.executeBlocking(() -> {
                    director.start();
                    return null;
                })
                .onComplete(started -> awaitReady(director, director.startedAt));
    }

    private void awaitReady(DirectorInstance director, long processStartedAt) {
        if (director.state != DirectorInstance.State.STARTING || director.startedAt != processStartedAt) {
            return;
        }
        clients.get(director.number).alive().onComplete(alive -> {
            if (director.state != DirectorInstance.State.STARTING || director.startedAt != processStartedAt) {
                return;
            }
            if (alive.succeeded() && alive.result()) {
                director.state = DirectorInstance.State.READY;
                oracle.ready(director.number, now(), now() - processStartedAt);
            } else if (!director.isAlive()) {
                oracle.crashed(director.number, now(), "ended at its start");
                director.state = DirectorInstance.State.ENDED;
            } else {
                vertx.setTimer(50, timer -> awaitReady(director, processStartedAt));
            }
        });
    }

    private void terminate(DirectorInstance director) {
        if (director.state != DirectorInstance.State.READY) {
            return;
        }
        director.state = DirectorInstance.State.TERMINATING;
        director.terminatedAt = now();
        director.killedAfterTerm = false;
        director.terminate();
        vertx.setTimer(KILL_AFTER_TERM_MS, timer -> {
            director.killedAfterTerm = director.isAlive();
            if (director.killedAfterTerm) {
                oracle.count("killed after SIGTERM");
            }
            director.state = DirectorInstance.State.ENDED;
            director.kill();
            vertx.setTimer(300, restart -> start(director));
        });
    }

    private void killWithoutWarning(DirectorInstance director) {
        if (director.state == DirectorInstance.State.READY) {
            director.state = DirectorInstance.State.KILLED;
            director.kill();
            vertx.setTimer(300, timer -> start(director));
        }
    }

    private void reload(DirectorInstance director) {
        if (director.state == DirectorInstance.State.READY) {
            director.configure(config(director, 5));
            vertx.executeBlocking(() -> {
                director.signal("HUP");
                return null;
            });
        }
    }

    private void pause(DirectorInstance director, long lengthMs) {
        if (director.state != DirectorInstance.State.READY) {
            return;
        }
        vertx.executeBlocking(() -> {
                    director.signal("STOP");
                    return null;
                })
                .onComplete(stopped -> vertx.setTimer(
                        lengthMs,
                        timer -> vertx.executeBlocking(() -> {
                                    director.signal("CONT");
                                    return null;
                                })
                                .onComplete(continued -> oracle.paused(director.number, now()))));
        oracle.paused(director.number, now() + lengthMs * MICROS_PER_MILLI + MICROS);
    }

    private void starve(DirectorInstance director, Fault fault) {
        if (director.state != DirectorInstance.State.READY) {
            return;
        }
        int stops = (int) (fault.lengthMs() / (fault.amount() + STARVED_RUN_MS));
        vertx.executeBlocking(() -> {
            director.stopRepeatedly(stops, fault.amount(), STARVED_RUN_MS);
            return null;
        });
        oracle.paused(director.number, now() + (fault.lengthMs() + STARVED_CATCH_UP_MS) * MICROS_PER_MILLI);
    }

    private void pollResources() {
        for (DirectorInstance director : directors) {
            if (director.state == DirectorInstance.State.READY) {
                if (!director.isAlive()) {
                    oracle.crashed(director.number, now(), "ended without a signal");
                    director.state = DirectorInstance.State.ENDED;
                    continue;
                }
                oracle.resources(
                        director.number,
                        now(),
                        director.peakMemoryMb(),
                        MEMORY_MB,
                        director.descriptors(),
                        DESCRIPTORS);
            }
        }
        vertx.setTimer(500, timer -> pollResources());
    }

    @Override
    public void close() {
        directors.forEach(DirectorInstance::kill);
        vertx.close();
    }

    /** Finds the heads of requests in the bytes of one link; a request begins with its method. */
    private static final class AttemptHeads {
        private static final int MAX_HEAD = 4_096;

        private final java.util.function.Consumer<Map<String, String>> onHead;
        private String unread = "";

        AttemptHeads(java.util.function.Consumer<Map<String, String>> onHead) {
            this.onHead = onHead;
        }

        void read(Buffer bytes) {
            unread += bytes.toString("ISO-8859-1");
            int end = unread.indexOf("\r\n\r\n");
            while (end >= 0) {
                onHead.accept(fields(unread.substring(0, end)));
                unread = unread.substring(end + 4);
                end = unread.indexOf("\r\n\r\n");
            }
            if (unread.length() > MAX_HEAD) {
                unread = "";
            }
        }

        private static Map<String, String> fields(String head) {
            Map<String, String> fields = new HashMap<>();
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(": ");
                if (colon > 0) {
                    fields.put(line.substring(0, colon).toLowerCase(java.util.Locale.ROOT), line.substring(colon + 2));
                }
            }
            return fields;
        }
    }
}
