package pewtercourse.decision;

/** What every part of a router may read: the time of the batch in hand and the settings in force. */
final class RoutingContext {
    private RouterSettings settings;
    private int routersInZone;
    private long now;
    private long batch;

    RoutingContext(RouterSettings settings) {
        configure(settings);
    }

    void configure(RouterSettings next) {
        settings = next;
        routersInZone = next.topology().routersInZone();
    }

    void beginBatch(long time) {
        now = time;
        batch++;
    }

    /** Microseconds of the caller's clock. */
    long now() {
        return now;
    }

    /** Number of the batch of events in hand. */
    long batch() {
        return batch;
    }

    RouterSettings settings() {
        return settings;
    }

    /** Routers of the own zone, at least 1. */
    int routersInZone() {
        return routersInZone;
    }
}
