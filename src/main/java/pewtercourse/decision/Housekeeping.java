package pewtercourse.decision;

/** Timing of the periodic work of a router. */
final class Housekeeping {
    /** Short compared with the shortest latency objectives, which are hundreds of milliseconds. */
    static final long INTERVAL_MICROS = 20_000;
    /** Factor that is applied in each interval to an estimate, so that it halves in a minute if nothing renews it. */
    static final double DECAY_PER_INTERVAL = Math.pow(0.5, INTERVAL_MICROS / 60e6);

    private Housekeeping() {}
}
