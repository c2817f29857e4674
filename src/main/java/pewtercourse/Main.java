package pewtercourse;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;
import pewtercourse.handover.InheritedSocket;
import pewtercourse.simulator.SimulatorConnection;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Entry point. {@code serve} runs a director, {@code benchlink} speaks the simulator's protocol on standard input and
 * output, and {@code rehearse} is the build's training run ({@link ClassArchiveTraining}). {@link CommandLine} has the
 * other commands.
 */
public final class Main {
    private static final int UNUSABLE = 2;
    private static final int MAX_TRAINING_CONNECTIONS = 64;

    private Main() {}

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
            new SimulatorConnection(System.in, System.out).run();
        } catch (SimulatorConnection.MalformedException e) {
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
            socket = InheritedSocket.fromEnvironment(System.getenv(), config.maxAcceptedConnections())
                    .orElse(null);
        } catch (ConfigException e) {
            Log.warn("config.unusable", "key", e.getMessage());
            System.exit(2);
            return;
        }
        // Vert.x logs a warning when connections have used up the file descriptors. The JVM reads files for its first
        // log line, which fails without descriptors and ends the thread that accepts connections. Formatting a record
        // now reads these files in time.
        new SimpleFormatter().format(new LogRecord(Level.WARNING, "ready"));
        FrontTransport transport = socket != null
                ? socket.transport()
                : new FrontTransport(new LimitedListener(config.maxAcceptedConnections()));
        Vertx vertx = vertx(transport);
        vertx.exceptionHandler(new UnexpectedErrors(Runtime.getRuntime()::halt));
        vertx.getOrCreateContext().runOnContext(v -> start(vertx, config, cluster, socket, transport));
    }

    private static void rehearse(String config) {
        try {
            ClassArchiveTraining.run(vertx(new FrontTransport(new LimitedListener(MAX_TRAINING_CONNECTIONS))), config);
        } catch (IOException e) {
            System.err.println("pewtercourse: cannot read " + config + ": " + e.getMessage());
            System.exit(1);
        }
    }

    private static Vertx vertx(FrontTransport transport) {
        VertxOptions options = new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setPreferNativeTransport(false)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false));
        return Vertx.builder().with(options).withTransport(transport).build();
    }

    private static void start(
            Vertx vertx,
            DirectorConfig config,
            ClusterConfig cluster,
            InheritedSocket socket,
            FrontTransport transport) {
        Service service = new Service(vertx, config, socket, transport);
        // Installed before the director listens: an earlier SIGHUP would end the program.
        Context loop = vertx.getOrCreateContext();
        Reloader reloader = new Reloader(config, System.getenv(), loop, service);
        service.setReloader(reloader);
        SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> reloader.reload());
        if (previousHandler == SignalHandler.SIG_IGN) {
            // The parent process ignores SIGHUP (as nohup does), so the JVM ignores it too and that can't be undone.
            Log.warn("signal.ignored", "signal", "HUP", "instead", "POST /reload");
        }
        Thread hook = new Thread(new Shutdown(vertx, service), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        (cluster == null
                        ? Future.<Void>succeededFuture()
                        : service.join(cluster).onFailure(e -> {
                            Log.warn("cluster.unusable", "name", cluster.name(), "error", e.getMessage());
                            Runtime.getRuntime().halt(UNUSABLE);
                        }))
                .compose(v -> service.start())
                .onComplete(started -> {
                    if (started.failed()) {
                        Log.warn("director.not_started", "listen", config.listen(), "error", started.cause());
                        Runtime.getRuntime().halt(1); // Unlike exit, starts no hook that would wait for this thread.
                    }
                    Log.info("director.listening", "name", config.name(), "listen", config.listen());
                });
    }
}
