package pewtercourse.decision;

/** Gives every part of a router the time of the current batch and the current settings. */
final class RoutingContext {
    private RouterSettings settings;
    private int routersInZone;
    private long now;
    private long batch;

    RoutingContext(RouterSettings settings) {
        configure(settings);
    }

    void configure(RouterSettings newSettings) {
        settings = newSettings;
        routersInZone = newSettings.topology().routersInZone();
    }

    void beginBatch(long batchTime) {
        now = batchTime;
        batch++;
    }

    /** Time of the current batch, in microseconds of the caller's clock. */
    long now() {
        return now;
    }

    /** Number of the current batch of events. */
    long batch() {
        return batch;
    }

    RouterSettings settings() {
        return settings;
    }

    /** Number of routers in the own zone, at least 1. */
    int routersInZone() {
        return routersInZone;
    }
}
