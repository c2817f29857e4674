package pewtercourse;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import pewtercourse.bench.BenchLink;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;
import pewtercourse.handover.InheritedSocket;
import sun.misc.Signal;

/**
 * Command line: {@code serve} is a real director, {@code benchlink} speaks the simulator's wire on standard
 * input and output, {@code rehearse} serves one request to itself for the build. The others are in {@link CommandLine}.
 */
public final class Main {
    // After SIGTERM connections still come for 0.4 s, and requests on open ones for 0.2 s more.
    // Closing the listener would close its connections too, so it stays up until the end. Where the socket is inherited,
    // another process accepts: this one ends once its clients are gone.
    private static final long ACCEPT_MS = 400, READ_MS = 200, SPARE_MS = 150, POLL_MS = 10, END_MOST_MS = 6_000;

    private static final int UNUSABLE = 2;

    private static DirectorConfig running; // The last file that was taken.

    private Main() { }

    public static void main(String[] args) {
        switch (String.join(" ", args).replaceFirst(" .*", " ...")) {
            case "serve" -> serve();
            case "benchlink" -> benchlink();
            case "rehearse ..." -> rehearse(args[1]);
            default -> System.exit(CommandLine.run(args));
        }
    }

    private static void benchlink() {
        try {
            new BenchLink(System.in, System.out).run();
        } catch (BenchLink.MalformedException e) {
            System.err.println("pewtercourse: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("pewtercourse: cannot read or write the wire: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void serve() {
        DirectorConfig config;
        ClusterConfig cluster;
        InheritedSocket socket;
        try {
            config = DirectorConfig.fromEnvironment(System.getenv());
            cluster = ClusterConfig.fromEnvironment(System.getenv());
            socket = InheritedSocket.from(System.getenv());
        } catch (ConfigException e) {
            Log.warn("config.unusable", "key", e.getMessage());
            System.exit(2);
            return;
        }
        // The library warns when connections use up the descriptors. What the JVM reads from files for its first log
        // line must be read by then: else that line fails, and the thread that accepts connections ends with it.
        new SimpleFormatter().format(new LogRecord(Level.WARNING, "ready"));
        Vertx vertx = vertx(socket);
        vertx.exceptionHandler(e -> Log.error("loop.unexpected", e));
        vertx.getOrCreateContext().runOnContext(v -> start(vertx, config, cluster, socket));
    }

    private static void rehearse(String config) {
        try {
            Rehearsal.run(vertx(null), config);
        } catch (IOException e) {
            System.err.println("pewtercourse: cannot read " + config + ": " + e.getMessage());
            System.exit(1);
        }
    }

    private static Vertx vertx(InheritedSocket socket) {
        VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1).setPreferNativeTransport(false)
                .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false));
        return socket == null ? Vertx.vertx(options) : Vertx.builder().with(options).withTransport(socket).build();
    }

    private static void start(Vertx vertx, DirectorConfig config, ClusterConfig cluster, InheritedSocket socket) {
        running = config;
        Service service = new Service(vertx, config, socket);
        // Before anybody can know that it listens: a signal that comes first would end the program at once.
        Context loop = vertx.getOrCreateContext();
        Signal.handle(new Signal("HUP"), s -> reload(loop, service));
        Thread hook = new Thread(() -> drain(vertx, service), "drain");
        Runtime.getRuntime().addShutdownHook(hook);
        (cluster == null ? Future.<Void>succeededFuture() : service.join(cluster).onFailure(e -> {
            Log.warn("cluster.unusable", "name", cluster.name(), "error", e.getMessage());
            Runtime.getRuntime().halt(UNUSABLE);
        })).compose(v -> service.start()).onComplete(done -> {
            if (done.failed()) {
                Log.warn("director.not_started", "listen", config.listen(), "error", done.cause());
                Runtime.getRuntime().halt(1); // Not by the hook, which would wait for this thread.
            }
            Log.info("director.listening", "name", config.name(), "listen", config.listen());
        });
    }

    /**
     * Runs on SIGHUP, in a thread of its own: a file that can't be used changes nothing. One at a time, from the reading
     * to the handing over: of two signals the later one's file must stay.
     */
    private static synchronized void reload(Context loop, Service service) {
        try {
            DirectorConfig to = running.again(System.getenv());
            // Both files, or neither.
            ClusterConfig cluster = ClusterConfig.fromEnvironment(System.getenv());
            running = to;
            loop.runOnContext(v -> {
                service.reload(to);
                if (cluster != null && cluster.sites() != null) {
                    service.sites(cluster.sites());
                }
            });
        } catch (ConfigException e) {
            Log.warn("config.kept", "key", e.getMessage());
            loop.runOnContext(v -> service.turnedDown());
        } catch (RuntimeException e) {
            Log.error("config.unexpected", e);
            loop.runOnContext(v -> service.turnedDown());
        }
    }

    /** Runs on SIGTERM, in a thread of its own: all that was taken is answered, then the program exits with 0. */
    private static void drain(Vertx vertx, Service service) {
        Log.info("director.stopping", "open", service.open());
        CountDownLatch idle = new CountDownLatch(1);
        vertx.runOnContext(v -> service.terminate());
        vertx.setTimer(ACCEPT_MS + READ_MS + SPARE_MS, a -> vertx.setPeriodic(POLL_MS, b -> {
            if (service.empty()) {
                // One more turn, so that the last answers are on their way.
                vertx.setTimer(POLL_MS, c -> idle.countDown());
            }
        }));
        try {
            idle.await(END_MOST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        vertx.runOnContext(v -> service.leave());
        Log.info("director.stopped", "open", service.open());
        Runtime.getRuntime().halt(0);
    }
}
