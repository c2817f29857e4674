package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import pewtercourse.admin.AdminServer;
import pewtercourse.admin.ClusterCalls;
import pewtercourse.admin.Operations;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.director.Metrics;
import pewtercourse.eventloop.EventLoopTurns;
import pewtercourse.failover.Sites;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.Drain;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiServer;
import pewtercourse.handover.ClaimedIds;
import pewtercourse.handover.InheritedSocket;
import pewtercourse.handover.OperatorState;
import pewtercourse.handover.StateFile;
import pewtercourse.memory.HeldBytes;

/** A running director with its front, warm-up, operators' address and cluster. Confined to the event loop. */
final class Service implements Operations {
    // Retry delay for clients that a draining director refuses: another director accepts them at once.
    private static final long RETRY_AFTER_MS = 50;
    // How often a process reads the operators' commands that the other process of an upgrade received.
    private static final long STATE_POLL_INTERVAL_MS = 200;
    // In an upgrade the other process still serves, so there is time to warm up; but this one must be ready within 6 s.
    private static final long UPGRADE_WARMUP_MS = 2_500;

    private final Vertx vertx;
    private final EventLoopTurns turns = EventLoopTurns.current(); // Null if the event loop does not record them.
    private DirectorConfig config;
    private final HeldBytes held;
    private final Director director;
    private final Warmup warmup;
    private final FastCgiServer front;
    private final Drain drain = new Drain();
    private final Metrics metrics = new Metrics();
    private final RequestHandler drainRefusal;
    private final InheritedSocket inherited;
    private final FrontTransport transport;
    private final StateFile stateFile; // Null without a state folder.
    private boolean serving;
    private long acceptedReloads;
    private long invalidReloads;
    private ClusterBridge clusterBridge; // Null without a cluster.
    private Reloader reloader;

    Service(Vertx vertx, DirectorConfig config, InheritedSocket inherited, FrontTransport transport) {
        this.vertx = vertx;
        this.config = config;
        this.inherited = inherited;
        this.transport = transport;
        this.held = new HeldBytes(config.memoryLimits());
        this.director = new Director(vertx, config, held);
        this.warmup = new Warmup(
                vertx,
                config,
                metrics.countRequests(director, director::knowsClass),
                metrics.countRequests(Warmup.REFUSING, director::knowsClass));
        this.drainRefusal = metrics.countRequests(
                (request, answer) -> {
                    answer.accept(Answer.refused(RETRY_AFTER_MS));
                    return () -> {};
                },
                director::knowsClass);
        metrics.registerClasses(config.site().classes().keySet());
        this.front = new FastCgiServer(vertx, new DrainFilter(), director.clock(), config.maxClientConnections(), held);
        this.stateFile = config.stateFolder() == null ? null : new StateFile(config.stateFolder());
    }

    Future<Void> start() {
        boolean upgrade = takeOverOperatorState();
        shareClaimedIds(upgrade);
        director.start();
        director.onPeerMessage(upgrade ? () -> {} : warmup::onFleetServing);
        SocketAddress address = SocketAddress.inetSocketAddress(config.listen());
        transport.useListenerForNextServer();
        return front.listen(address)
                .compose(v -> config.adminListen() == null
                        ? Future.succeededFuture()
                        : new AdminServer(vertx, this)
                                .listen(SocketAddress.inetSocketAddress(config.adminListen()))
                                .onFailure(e ->
                                        Log.warn("admin.not_listening", "listen", config.adminListen(), "error", e)))
                .compose(v ->
                        inherited == null ? warmup.run(address, config.startsWithFleet()) : warmUpInternally(upgrade))
                .onSuccess(v -> {
                    readOperatorState();
                    if (inherited != null) {
                        writeState(); // A later process reads this process's id from the file.
                    }
                    serving = true;
                    if (stateFile != null) {
                        vertx.setPeriodic(STATE_POLL_INTERVAL_MS, timer -> readOperatorState());
                    }
                });
    }

    // Clients of an upgrade may reach either process. Without the file each process knows only its own ids.
    private void shareClaimedIds(boolean upgrade) {
        if (stateFile == null || inherited == null) {
            return;
        }
        try {
            director.setClaimedIds(ClaimedIds.sharedIn(config.stateFolder(), upgrade, WallClock::unixMillis));
        } catch (IOException e) {
            Log.warn("ids.not_shared", "folder", config.stateFolder(), "error", e);
        }
    }

    /** Applies the operators' commands to an earlier process of this director; returns whether that one still runs. */
    private boolean takeOverOperatorState() {
        OperatorState previous = readChangedState().orElse(null);
        if (previous == null) {
            return false;
        }
        boolean runs = inherited != null
                && previous.processId() != ProcessHandle.current().pid()
                && ProcessHandle.of(previous.processId())
                        .map(ProcessHandle::isAlive)
                        .orElse(false);
        Log.info(
                "state.taken_over",
                "from",
                previous.processId(),
                "runs",
                runs,
                "out",
                previous.drained().keySet(),
                "standby",
                previous.standby());
        apply(previous);
        return runs;
    }

    // Connections to a shared socket may reach another process, so the warm-up uses a socket of its own. Clients are
    // accepted only afterwards.
    private Future<Void> warmUpInternally(boolean upgrade) {
        FastCgiServer internalFront =
                new FastCgiServer(vertx, warmup, director.clock(), config.maxClientConnections(), held);
        return internalFront
                .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                .compose(server -> warmup.run(
                        SocketAddress.inetSocketAddress(server.actualPort(), "127.0.0.1"),
                        upgrade || config.startsWithFleet(),
                        upgrade ? UPGRADE_WARMUP_MS : Warmup.MAX_DURATION_MS))
                .compose(v -> internalFront.close())
                .compose(v -> inherited.accept(true));
    }

    // Applies commands that operators gave to another process of this director: drains and standby apply to both.
    private void readOperatorState() {
        readChangedState().ifPresent(this::apply);
    }

    private Optional<OperatorState> readChangedState() {
        return stateFile == null ? Optional.empty() : stateFile.readIfChanged();
    }

    private void apply(OperatorState state) {
        if (clusterBridge == null) {
            director.applyOperatorState(state); // A cluster's committed state takes precedence.
        }
        if (state.standby() != drain.isActive(Drain.Cause.STANDBY)) {
            setStandby(state.standby());
        }
    }

    private void writeState() {
        if (stateFile != null) {
            stateFile.write(director.operatorState(drain.isActive(Drain.Cause.STANDBY)));
        }
    }

    private void setStandby(boolean on) {
        Log.info(
                on ? "operator.standby" : "operator.active",
                "open",
                director.openRequests(),
                "connections",
                front.connections());
        if (on) {
            drain.begin(Drain.Cause.STANDBY, director.clock().getAsLong());
        } else {
            drain.end(Drain.Cause.STANDBY);
        }
        front.drain(drain);
        if (clusterBridge != null) {
            clusterBridge.setEligible(!on);
        }
    }

    /** Refuses the requests that a drain rejects and passes the others on. */
    private final class DrainFilter implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, ClientExchange client) {
            if (refusesRequests()) {
                return drainRefusal.handle(request, client);
            }
            return warmup.handle(request, client);
        }

        @Override
        public boolean ready() {
            return warmup.ready() && !drain.isActive(Drain.Cause.STANDBY);
        }
    }

    @Override
    public String metrics() {
        String own = metrics.format(director.gaugeValues(acceptedReloads, invalidReloads, front.delays()));
        return clusterBridge == null ? own : own + clusterBridge.formatMetrics();
    }

    @Override
    public boolean canServe() {
        return serving;
    }

    @Override
    public Future<Verdict> enterMaintenance(String target) {
        readOperatorState();
        if (clusterBridge != null && director.knowsEndpoint(target)) {
            return clusterBridge.drainCache(target);
        }
        boolean known = director.drainEndpoint(target);
        writeState();
        Log.info("operator.out", "target", known ? target : "unknown");
        return Future.succeededFuture(known ? Verdict.DONE : Verdict.UNKNOWN);
    }

    @Override
    public Future<Verdict> exitMaintenance(String target) {
        readOperatorState();
        if (clusterBridge != null && director.knowsEndpoint(target)) {
            return clusterBridge.reinstateCache(target);
        }
        boolean known = director.reinstateEndpoint(target);
        writeState();
        Log.info("operator.in", "target", known ? target : "unknown");
        return Future.succeededFuture(known ? Verdict.DONE : Verdict.UNKNOWN);
    }

    @Override
    public ClusterCalls cluster() {
        return clusterBridge;
    }

    /** Joins a cluster; from now on operators' calls for caches are proposed to it. */
    Future<Void> join(ClusterConfig clusterConfig) {
        clusterBridge = new ClusterBridge(vertx, clusterConfig, director);
        return clusterBridge.start();
    }

    /** Applies a new sites file, which is already checked. */
    void updateSites(Sites sites) {
        if (clusterBridge != null) {
            clusterBridge.updateSites(sites);
        }
    }

    /** Stops this director's cluster member: it takes part in no decision and writes nothing afterwards. */
    void closeCluster() {
        if (clusterBridge != null) {
            clusterBridge.close();
        }
    }

    @Override
    public void standby() {
        readOperatorState();
        setStandby(true);
        writeState();
    }

    @Override
    public void active() {
        readOperatorState();
        setStandby(false);
        writeState();
    }

    /**
     * Starts the shutdown on SIGTERM. With an inherited socket, another process accepts the clients, and this one sends
     * its own clients there. Otherwise this process still serves clients for a while.
     *
     * @param beganAtMicros when the shutdown began, which may be some time ago if the process was stopped or busy
     */
    void terminate(long beganAtMicros) {
        if (clusterBridge != null) {
            clusterBridge.setEligible(false);
        }
        if (inherited != null) {
            inherited.accept(false);
        }
        drain.begin(inherited != null ? Drain.Cause.HANDOVER : Drain.Cause.SHUTDOWN, beganAtMicros);
        front.drain(drain);
    }

    /**
     * The earliest time on the director's clock at which a signal that is handled now may have been sent. May be called by
     * any thread.
     */
    long earliestSignalMicros() {
        long nowNanos = System.nanoTime();
        long waitedNanos = turns == null ? 0 : nowNanos - turns.earliestSignalNanos(nowNanos);
        return director.clock().getAsLong() - TimeUnit.NANOSECONDS.toMicros(waitedNanos);
    }

    /** Returns whether requests that are read from now on are refused. */
    boolean refusesRequests() {
        return drain.stageAt(director.clock().getAsLong()) == Drain.Stage.REFUSE;
    }

    /** Returns whether new requests are refused, all accepted ones are answered, and the leases are handed over. */
    boolean isFinished() {
        return refusesRequests()
                && director.openRequests() == 0
                && (clusterBridge == null || clusterBridge.handoverComplete());
    }

    /** Returns whether a client still reads answers that it has not got completely. */
    boolean isDelivering() {
        return front.isDelivering();
    }

    /** Number of client connections; their clients may not have read the last bytes yet. */
    int connections() {
        return front.connections();
    }

    /** Answers the open requests as failed, as the time for them has run out. */
    void failOpenRequests() {
        director.failOpenRequests();
    }

    void setReloader(Reloader newReloader) {
        reloader = newReloader;
    }

    @Override
    public Future<Verdict> reload() {
        return vertx.executeBlocking(reloader::reload)
                .map(rejection -> rejection.map(Verdict::refused).orElse(Verdict.DONE));
    }

    void reload(DirectorConfig newConfig) {
        acceptedReloads++;
        config = newConfig;
        metrics.registerClasses(newConfig.site().classes().keySet());
        director.reload(newConfig);
    }

    /** Counts a reload that was rejected because of an invalid file. */
    void countInvalidReload() {
        invalidReloads++;
    }

    int openRequests() {
        return director.openRequests();
    }
}
