package pewtercourse.backlog;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pewtercourse.emulator.EmulatedFeed;
import pewtercourse.emulator.EmulatedSettings;
import pewtercourse.emulator.EventLoopCalls;
import pewtercourse.emulator.LoopbackPorts;
import pewtercourse.front.fastcgi.FastCgiClient;

/** Plays one plan: one director as a process, twelve caches and the clients, each of them on a thread of its own. */
public final class BacklogRun implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final String ZONE = "edge-1";
    private static final String HUB = "hub";
    private static final int CACHES = 12;
    private static final int MEMORY_MB = 192;
    private static final int DESCRIPTORS = 1_024;
    private static final double WARM_UP_MS = 6_000;
    private static final double COLLAPSE_WINDOW_MS = 1_500;
    private static final long READY_TIMEOUT_S = 60;
    private static final long POLL_MS = 5;
    private static final long NANOS_PER_MICRO = 1_000;

    private final BacklogPlan plan;
    private final Path folder;
    private final String classPath;
    private final Vertx clientVertx = Vertx.vertx();
    private final Vertx cacheVertx = Vertx.vertx();
    private final Context clientLoop = clientVertx.getOrCreateContext();
    private final Context cacheLoop = cacheVertx.getOrCreateContext();
    private final BacklogOracle oracle = new BacklogOracle();
    private DisturbedDirector director;

    private BacklogRun(BacklogPlan plan, Path folder, String classPath) {
        this.plan = plan;
        this.folder = folder;
        this.classPath = classPath;
    }

    /** Plays a plan with a director of this class path; its log and configuration are left in the folder. */
    public static BacklogResult play(BacklogPlan plan, Path folder, String classPath) throws Exception {
        Files.createDirectories(folder);
        try (BacklogRun run = new BacklogRun(plan, folder, classPath)) {
            return run.play();
        }
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    private BacklogResult play() throws Exception {
        BacklogCaches caches = EventLoopCalls.call(
                cacheLoop, () -> new BacklogCaches(cacheVertx, oracle, BacklogRun::now, plan.cacheDelayMs()));
        EventLoopCalls.await(EventLoopCalls.call(cacheLoop, () -> caches.listen(CACHES)));
        int port = LoopbackPorts.unused();
        director = new DisturbedDirector(folder, config(port, caches.addresses()), classPath);
        SocketAddress address = SocketAddress.inetSocketAddress(port, HOST);
        awaitReady(address);
        director.disturb(plan.disturbance());
        double processorSecondsBefore = director.processorSeconds();
        BacklogClients clients = EventLoopCalls.call(
                clientLoop, () -> new BacklogClients(clientVertx, address, plan, oracle, BacklogRun::now));
        EventLoopCalls.call(clientLoop, () -> {
            clients.start();
            return null;
        });
        long endBy = System.nanoTime()
                + TimeUnit.SECONDS.toNanos(plan.load().seconds())
                + TimeUnit.MILLISECONDS.toNanos(plan.load().deadlineMs())
                + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (!EventLoopCalls.call(clientLoop, clients::isFinished)) {
            if (System.nanoTime() > endBy || !director.isAlive()) {
                throw new IOException("the play did not end:\n" + director.log());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        director.endDisturbances();
        TimeUnit.MILLISECONDS.sleep(plan.load().deadlineMs()); // Late attempts are recorded too.
        return oracle.result(director.processorSeconds() - processorSecondsBefore, director.peakMemoryMb());
    }

    private void awaitReady(SocketAddress address) throws Exception {
        long endBy = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (!isReady(address)) {
            if (System.nanoTime() > endBy || !director.isAlive()) {
                throw new IOException("the director did not become ready:\n" + director.log());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private boolean isReady(SocketAddress address) throws InterruptedException {
        try {
            return FastCgiClient.connect(clientVertx, address)
                    .compose(connection -> connection
                            .send(Map.of("SCRIPT_NAME", "/alive", "REQUEST_METHOD", "GET"))
                            .map(answer -> answer.toString().startsWith("Status: 200"))
                            .onComplete(answered -> connection.close()))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(2, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
            return false;
        }
    }

    private static JsonObject config(int port, List<String> cacheAddresses) {
        List<JsonObject> hosts = new ArrayList<>();
        for (int i = 0; i < cacheAddresses.size(); i++) {
            hosts.add(
                    EmulatedFeed.host(String.format("s-%08x", i + 1), cacheAddresses.get(i), ZONE, "box", "Ready", 0));
        }
        hosts.add(EmulatedFeed.host("s-00000901", HOST + ":9", HUB, "parent", "Ready", 0));
        hosts.add(EmulatedFeed.host("s-00000a01", HOST + ":9", HUB, "origin", "Ready", 0));
        JsonObject list = EmulatedFeed.hosts(true, 1, hosts).put("n", 1);
        return new JsonObject()
                .put("name", "n0")
                .put("listen", HOST + ':' + port)
                .put("seed", "8c1f30d27a5be964")
                .put(
                        "limits",
                        new JsonObject()
                                .put("cores", 1.0)
                                .put("memory_mb", MEMORY_MB)
                                .put("sockets", DESCRIPTORS))
                .put("known", new JsonObject().put("n", 1).put("events", new JsonArray().add(list)))
                .put(
                        "settings",
                        new EmulatedSettings(WARM_UP_MS, COLLAPSE_WINDOW_MS)
                                .of(
                                        0,
                                        1,
                                        ZONE,
                                        new JsonArray().add(HUB).add(ZONE),
                                        new JsonArray().add(0).add(1)));
    }

    @Override
    public void close() throws Exception {
        if (director != null) {
            director.close();
        }
        EventLoopCalls.await(clientVertx.close());
        EventLoopCalls.await(cacheVertx.close());
    }
}
