package pewtercourse;

import io.vertx.core.Context;
import java.util.Map;
import java.util.Optional;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;

/**
 * Reads the configuration again, at SIGHUP or at an operator's call. A file that can't be used changes nothing. One call
 * at a time, from the reading to the handing over: of two the later one's file must stay.
 */
final class Reloader {
    private final Map<String, String> environment;
    private final Context loop;
    private final Service service;
    private DirectorConfig running; // The last file that was taken.

    Reloader(DirectorConfig running, Map<String, String> environment, Context loop, Service service) {
        this.running = running;
        this.environment = environment;
        this.loop = loop;
        this.service = service;
    }

    /** Reads files, so never on the event loop. Returns why the file was turned down; empty if it was taken. */
    synchronized Optional<String> reload() {
        try {
            DirectorConfig next = running.reread(environment);
            // Both files, or neither.
            ClusterConfig cluster = ClusterConfig.fromEnvironment(environment);
            running = next;
            loop.runOnContext(v -> {
                service.reload(next);
                if (cluster != null && cluster.sites() != null) {
                    service.sites(cluster.sites());
                }
            });
            return Optional.empty();
        } catch (ConfigException e) {
            Log.warn("config.kept", "key", e.getMessage());
            return turnedDown(e.getMessage());
        } catch (RuntimeException e) {
            Log.error("config.unexpected", e);
            return turnedDown("failed: see the log");
        }
    }

    private Optional<String> turnedDown(String why) {
        loop.runOnContext(v -> service.turnedDown());
        return Optional.of(why);
    }
}
