package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import pewtercourse.admin.AdminServer;
import pewtercourse.admin.ClusterCalls;
import pewtercourse.admin.Operations;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.director.Metrics;
import pewtercourse.failover.Sites;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.Drain;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiServer;
import pewtercourse.handover.InheritedSocket;
import pewtercourse.handover.OperatorState;
import pewtercourse.handover.StateFile;

/** One running director: its front, its operators' address and what stands between them. All on the event loop. */
final class Service implements Operations {
    // A client that is sent away while the director drains: another takes it at once.
    private static final long HOLD_OFF_MS = 50;
    // A process that serves hears within this what operators told the other one of an upgrade.
    private static final long FOLLOW_MS = 200;
    // While another process serves nobody waits for this one, but it is due within 6 s of its start.
    private static final long UPGRADE_WARM_MS = 2_500;

    private final Vertx vertx;
    private DirectorConfig config;
    private final Director director;
    private final Warmup warmup;
    private final FastCgiServer front;
    private final Drain drain = new Drain();
    private final Metrics metrics = new Metrics();
    private final RequestHandler turnedAway;
    private final InheritedSocket inherited;
    private final FrontTransport transport;
    private final StateFile state;
    private boolean serving;
    private long accepted, invalid; // Files at SIGHUP.
    private ClusterBridge agreement; // Null without a cluster.
    private Reloader reloader;

    Service(Vertx vertx, DirectorConfig config, InheritedSocket inherited, FrontTransport transport) {
        this.vertx = vertx;
        this.config = config;
        this.inherited = inherited;
        this.transport = transport;
        this.director = new Director(vertx, config);
        this.warmup = new Warmup(
                vertx,
                config,
                metrics.countRequests(director, director::knowsClass),
                metrics.countRequests(Warmup.REFUSING, director::knowsClass));
        this.turnedAway = metrics.countRequests(
                (request, answer) -> {
                    answer.accept(Answer.refused(HOLD_OFF_MS));
                    return () -> {};
                },
                director::knowsClass);
        metrics.registerClasses(config.site().classes().keySet());
        this.front = new FastCgiServer(vertx, new Gate(), director.clock(), config.front());
        this.state = config.stateFolder() == null ? null : new StateFile(config.stateFolder());
    }

    Future<Void> start() {
        boolean upgrade = takeOver();
        director.start();
        director.onPeerMessage(upgrade ? () -> {} : warmup::missed);
        SocketAddress at = SocketAddress.inetSocketAddress(config.listen());
        transport.frontNext();
        return front.listen(at)
                .compose(v -> config.adminListen() == null
                        ? Future.succeededFuture()
                        : new AdminServer(vertx, this)
                                .listen(SocketAddress.inetSocketAddress(config.adminListen()))
                                .onFailure(e ->
                                        Log.warn("admin.not_listening", "listen", config.adminListen(), "error", e)))
                .compose(v -> inherited == null ? warmup.run(at, config.startsWithFleet()) : warmInside(upgrade))
                .onSuccess(v -> {
                    follow();
                    if (inherited != null) {
                        write(); // So that a later process knows of this one.
                    }
                    serving = true;
                    if (state != null) {
                        vertx.setPeriodic(FOLLOW_MS, t -> follow());
                    }
                });
    }

    /** Takes over what operators told a process before this one; true if that one still runs. */
    private boolean takeOver() {
        OperatorState before = readChangedState().orElse(null);
        if (before == null) {
            return false;
        }
        boolean runs = inherited != null
                && before.processId() != ProcessHandle.current().pid()
                && ProcessHandle.of(before.processId())
                        .map(ProcessHandle::isAlive)
                        .orElse(false);
        Log.info(
                "state.taken_over",
                "from",
                before.processId(),
                "runs",
                runs,
                "out",
                before.drained().keySet(),
                "standby",
                before.standby());
        heed(before);
        return runs;
    }

    // A shared socket may lead to another process: the warm-up comes by one of its own, and nothing is accepted before.
    private Future<Void> warmInside(boolean upgrade) {
        FastCgiServer inside = new FastCgiServer(vertx, warmup, director.clock(), config.front());
        return inside.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                .compose(s -> warmup.run(
                        SocketAddress.inetSocketAddress(s.actualPort(), "127.0.0.1"),
                        upgrade || config.startsWithFleet(),
                        upgrade ? UPGRADE_WARM_MS : Warmup.MOST_MS))
                .compose(v -> inside.close())
                .compose(v -> inherited.accept(true));
    }

    // Another process of this director may have been told something: bans and drains count for both.
    private void follow() {
        readChangedState().ifPresent(this::heed);
    }

    private Optional<OperatorState> readChangedState() {
        return state == null ? Optional.empty() : state.readIfChanged();
    }

    private void heed(OperatorState told) {
        if (agreement == null) {
            director.applyOperatorState(told); // In a cluster what was agreed there counts.
        }
        if (told.standby() != drain.has(Drain.Cause.STANDBY)) {
            standby(told.standby());
        }
    }

    private void write() {
        if (state != null) {
            state.write(director.operatorState(drain.has(Drain.Cause.STANDBY)));
        }
    }

    private void standby(boolean on) {
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
        if (agreement != null) {
            agreement.willing(!on);
        }
    }

    /** Between the front and the service: what a drain turns away. */
    private final class Gate implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
            if (refuses()) {
                return turnedAway.handle(request, answer);
            }
            return warmup.handle(request, answer);
        }

        @Override
        public boolean ready() {
            return warmup.ready() && !drain.has(Drain.Cause.STANDBY);
        }
    }

    @Override
    public String metrics() {
        String own = metrics.format(director.gaugeValues(accepted, invalid));
        return agreement == null ? own : own + agreement.figures();
    }

    @Override
    public boolean canServe() {
        return serving;
    }

    @Override
    public Future<Verdict> enterMaintenance(String target) {
        follow();
        if (agreement != null && director.knowsEndpoint(target)) {
            return agreement.takeOut(target);
        }
        boolean known = director.drainEndpoint(target);
        write();
        Log.info("operator.out", "target", known ? target : "unknown");
        return Future.succeededFuture(known ? Verdict.DONE : Verdict.UNKNOWN);
    }

    @Override
    public Future<Verdict> exitMaintenance(String target) {
        follow();
        if (agreement != null && director.knowsEndpoint(target)) {
            return agreement.putBack(target);
        }
        boolean known = director.reinstateEndpoint(target);
        write();
        Log.info("operator.in", "target", known ? target : "unknown");
        return Future.succeededFuture(known ? Verdict.DONE : Verdict.UNKNOWN);
    }

    @Override
    public ClusterCalls cluster() {
        return agreement;
    }

    /** This director belongs to a cluster: what operators say is agreed there from now on. */
    Future<Void> join(ClusterConfig to) {
        agreement = new ClusterBridge(vertx, to, director);
        return agreement.start();
    }

    /** A new file of sites, already checked. */
    void sites(Sites to) {
        if (agreement != null) {
            agreement.sites(to);
        }
    }

    /** Nothing more is agreed or written. */
    void leave() {
        if (agreement != null) {
            agreement.close();
        }
    }

    @Override
    public void standby() {
        follow();
        standby(true);
        write();
    }

    @Override
    public void active() {
        follow();
        standby(false);
        write();
    }

    /**
     * SIGTERM: where the socket is inherited, another process takes the clients, and this one sends its own there; else
     * clients come for a while yet.
     */
    void terminate() {
        if (agreement != null) {
            agreement.willing(false);
        }
        if (inherited != null) {
            inherited.accept(false);
        }
        drain.begin(
                inherited != null ? Drain.Cause.HANDOVER : Drain.Cause.SHUTDOWN,
                director.clock().getAsLong());
        front.drain(drain);
    }

    /** Whether what is read from now on is refused and never sent on. */
    boolean refuses() {
        return drain.step(director.clock().getAsLong()) == Drain.Step.REFUSE;
    }

    /** Whether nothing more is taken, all that was taken is answered, and no lease is held. */
    boolean finished() {
        return refuses() && director.openRequests() == 0 && (agreement == null || agreement.handedOn());
    }

    /** Client connections whose last bytes may not have been read yet. */
    int connections() {
        return front.connections();
    }

    /** Answers as failed what is open: its time to be served is over. */
    void giveUp() {
        director.failOpenRequests();
    }

    void reloadsBy(Reloader to) {
        reloader = to;
    }

    @Override
    public Future<Verdict> reload() {
        return vertx.executeBlocking(reloader::reload)
                .map(refused -> refused.map(Verdict::refused).orElse(Verdict.DONE));
    }

    void reload(DirectorConfig to) {
        accepted++;
        config = to;
        metrics.registerClasses(to.site().classes().keySet());
        director.reload(to);
    }

    /** A file at SIGHUP that can't be used. */
    void turnedDown() {
        invalid++;
    }

    int open() {
        return director.openRequests();
    }
}
