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
 * Command line: {@code serve} is a real director, {@code benchlink} speaks the simulator's wire on standard
 * input and output, {@code rehearse} serves one request to itself for the build. The others are in {@link CommandLine}.
 */
public final class Main {
    private static final int UNUSABLE = 2;
    private static final int REHEARSAL_CONNECTIONS = 64;

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
            socket = InheritedSocket.fromEnvironment(System.getenv(), config.acceptedMost())
                    .orElse(null);
        } catch (ConfigException e) {
            Log.warn("config.unusable", "key", e.getMessage());
            System.exit(2);
            return;
        }
        // The library warns when connections use up the descriptors. What the JVM reads from files for its first log
        // line must be read by then: else that line fails, and the thread that accepts connections ends with it.
        new SimpleFormatter().format(new LogRecord(Level.WARNING, "ready"));
        FrontTransport transport =
                socket != null ? socket.transport() : new FrontTransport(new LimitedListener(config.acceptedMost()));
        Vertx vertx = vertx(transport);
        vertx.exceptionHandler(e -> Log.error("loop.unexpected", e));
        vertx.getOrCreateContext().runOnContext(v -> start(vertx, config, cluster, socket, transport));
    }

    private static void rehearse(String config) {
        try {
            Rehearsal.run(vertx(new FrontTransport(new LimitedListener(REHEARSAL_CONNECTIONS))), config);
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
        // Before anybody can know that it listens: a signal that comes first would end the program at once.
        Context loop = vertx.getOrCreateContext();
        Reloader reloader = new Reloader(config, System.getenv(), loop, service);
        service.reloadsBy(reloader);
        SignalHandler before = Signal.handle(new Signal("HUP"), s -> reloader.reload());
        if (before == SignalHandler.SIG_IGN) {
            // Whoever started this program ignores it (as nohup does), and so the JVM does: it can't be taken back.
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
                .onComplete(done -> {
                    if (done.failed()) {
                        Log.warn("director.not_started", "listen", config.listen(), "error", done.cause());
                        Runtime.getRuntime().halt(1); // Not by the hook, which would wait for this thread.
                    }
                    Log.info("director.listening", "name", config.name(), "listen", config.listen());
                });
    }
}
