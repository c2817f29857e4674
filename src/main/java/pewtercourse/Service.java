package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.function.Consumer;
import pewtercourse.admin.AdminServer;
import pewtercourse.admin.Operations;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.Drain;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiServer;

/** One running director: its front, its operators' address and what stands between them. All on the event loop. */
final class Service implements Operations {
    // A client that is sent away while the director drains: another takes it at once.
    private static final long HOLD_OFF_MS = 50;

    private final Vertx vertx;
    private final DirectorConfig config;
    private final Director director;
    private final Warmup warmup;
    private final FastCgiServer front;
    private final Drain drain = new Drain();
    private boolean serving;

    Service(Vertx vertx, DirectorConfig config) {
        this.vertx = vertx;
        this.config = config;
        this.director = new Director(vertx, config);
        this.warmup = new Warmup(vertx, config, director);
        this.front = new FastCgiServer(vertx, new Gate(), director.clock(), config.front());
    }

    Future<Void> start() {
        director.start();
        director.onPeerHeard(warmup::missed);
        SocketAddress at = SocketAddress.inetSocketAddress(config.listen());
        return front.listen(at).compose(v -> config.adminListen() == null ? Future.succeededFuture()
                : new AdminServer(vertx, this).listen(SocketAddress.inetSocketAddress(config.adminListen()))
                        .onFailure(e -> Log.warn("admin.not_listening", "listen", config.adminListen(), "error", e)))
                .compose(v -> warmup.run(at, config.startsWithFleet())).onSuccess(v -> serving = true);
    }

    /** Between the front and the service: what a drain turns away. */
    private final class Gate implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
            if (drain.step(director.clock().getAsLong()) == Drain.Step.REFUSE) {
                answer.accept(Answer.refused(HOLD_OFF_MS));
                return () -> { };
            }
            return warmup.handle(request, answer);
        }

        @Override
        public boolean ready() {
            return warmup.ready() && !drain.has(Drain.Cause.STANDBY);
        }
    }

    @Override
    public boolean canServe() {
        return serving;
    }

    @Override
    public boolean enterMaintenance(String target) {
        boolean known = director.takeOut(target);
        Log.info("operator.out", "target", known ? target : "unknown");
        return known;
    }

    @Override
    public boolean exitMaintenance(String target) {
        boolean known = director.putBack(target);
        Log.info("operator.in", "target", known ? target : "unknown");
        return known;
    }

    @Override
    public void standby() {
        Log.info("operator.standby", "open", director.open(), "connections", front.connections());
        drain.begin(Drain.Cause.STANDBY, director.clock().getAsLong());
        front.drain(drain);
    }

    @Override
    public void active() {
        Log.info("operator.active", "open", director.open(), "connections", front.connections());
        drain.end(Drain.Cause.STANDBY);
        front.drain(drain);
    }

    void reload(DirectorConfig to) {
        director.reload(to);
    }

    int open() {
        return director.open();
    }
}
