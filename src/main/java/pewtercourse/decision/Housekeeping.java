package pewtercourse.decision;

/** The rhythm of what a router does without being asked. */
final class Housekeeping {
    /** Microseconds: fine against the shortest latency objectives, which are hundreds of milliseconds. */
    static final long INTERVAL = 20_000;
    /** Factor in each interval by which an estimate that nothing renews halves in a minute. */
    static final double FADE = Math.pow(0.5, INTERVAL / 60e6);

    private Housekeeping() {}
}
