package pewtercourse.backlog;

/**
 * One play of a load under a disturbance.
 *
 * @param cacheDelayMs time after which a cache answers
 * @param seed seed of the objects and of the early leaves
 */
public record BacklogPlan(Load load, Leaving leaving, Disturbance disturbance, int cacheDelayMs, long seed) {
    private static final int USUAL_CACHE_DELAY_MS = 30;

    /** Requests in an open loop, whose clients wait for {@code deadlineMs}. */
    public record Load(int requestsPerSecond, int seconds, int deadlineMs) {}

    /**
     * How clients stop waiting.
     *
     * @param earlyShare share of the requests whose client leaves before its deadline, at a random time
     */
    public record Leaving(Way way, double earlyShare) {}

    /** How a client that stops waiting tells the director. */
    public enum Way {
        /** It sends ABORT_REQUEST and keeps the connection. */
        ABORT,
        /** It closes the connection. */
        CLOSE
    }

    /**
     * What keeps the director from its processor.
     *
     * @param busyProcesses processes that share its core
     * @param stopMs length of each SIGSTOP; 0 for none
     * @param runMs time between two stops
     */
    public record Disturbance(int busyProcesses, int stopMs, int runMs) {
        /** No disturbance. */
        public static final Disturbance NONE = new Disturbance(0, 0, 0);
    }

    /** A load whose clients send ABORT_REQUEST at their deadline. */
    public static BacklogPlan of(int requestsPerSecond, int seconds, int deadlineMs) {
        return new BacklogPlan(
                new Load(requestsPerSecond, seconds, deadlineMs),
                new Leaving(Way.ABORT, 0),
                Disturbance.NONE,
                USUAL_CACHE_DELAY_MS,
                1);
    }

    /** The same plan with the director stopped for {@code stopMs} after each {@code runMs}. */
    public BacklogPlan withStops(int stopMs, int runMs) {
        Disturbance stops = new Disturbance(disturbance.busyProcesses(), stopMs, runMs);
        return new BacklogPlan(load, leaving, stops, cacheDelayMs, seed);
    }

    /** The same plan with another way to leave. */
    public BacklogPlan withLeaves(Way way, double earlyShare) {
        return new BacklogPlan(load, new Leaving(way, earlyShare), disturbance, cacheDelayMs, seed);
    }

    /** The same plan with caches that take {@code delayMs} for an answer. */
    public BacklogPlan withCacheDelay(int delayMs) {
        return new BacklogPlan(load, leaving, disturbance, delayMs, seed);
    }
}
