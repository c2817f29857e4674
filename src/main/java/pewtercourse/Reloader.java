package pewtercourse;

import io.vertx.core.Context;
import java.util.Map;
import java.util.Optional;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;

/**
 * Reads the configuration again, on SIGHUP or an operator's call. An invalid file changes nothing. Calls run one after
 * the other, from reading the file to passing it to the event loop, so that the later call's file stays in force.
 */
final class Reloader {
    private final Map<String, String> environment;
    private final Context loop;
    private final Service service;
    private DirectorConfig running; // From the last accepted file.

    Reloader(DirectorConfig running, Map<String, String> environment, Context loop, Service service) {
        this.running = running;
        this.environment = environment;
        this.loop = loop;
        this.service = service;
    }

    /** Reads the files and applies them; returns why they were rejected, or empty. Blocks, so not for the event loop. */
    synchronized Optional<String> reload() {
        try {
            DirectorConfig next = running.reread(environment);
            // Both files are valid, or neither is applied.
            ClusterConfig cluster = ClusterConfig.fromEnvironment(environment);
            running = next;
            loop.runOnContext(v -> {
                service.reload(next);
                if (cluster != null && cluster.sites() != null) {
                    service.updateSites(cluster.sites());
                }
            });
            return Optional.empty();
        } catch (ConfigException e) {
            Log.warn("config.kept", "key", e.getMessage());
            return reject(e.getMessage());
        } catch (RuntimeException e) {
            Log.error("config.unexpected", e);
            return reject("failed: see the log");
        }
    }

    private Optional<String> reject(String why) {
        loop.runOnContext(v -> service.countInvalidReload());
        return Optional.of(why);
    }
}
