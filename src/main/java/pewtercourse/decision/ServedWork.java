package pewtercourse.decision;

/** The work that an endpoint served recently: concurrent transfers, as an exponentially decaying average. */
final class ServedWork {
    /** Time constant of the average. */
    private static final double WINDOW_MICROS = 4_000_000;

    private double average;
    private long updatedAt;

    /** Adds a transfer that has ended now: the average then contains what it added to it while it ran. */
    void add(long now, double transferTime) {
        average = average(now) + 1 - Math.exp(-transferTime / WINDOW_MICROS);
        updatedAt = now;
    }

    double average(long now) {
        return average * Math.exp((updatedAt - now) / WINDOW_MICROS);
    }
}
