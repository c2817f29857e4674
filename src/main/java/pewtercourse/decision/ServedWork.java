package pewtercourse.decision;

/** The work that an endpoint served recently: concurrent transfers, as an exponentially decaying average. */
final class ServedWork {
    /** Time constant of the average. */
    private static final double WINDOW_MICROS = 4_000_000;

    private double sum;
    private long updatedAt;

    void add(long now, double transferTime) {
        sum = sum * Math.exp((updatedAt - now) / WINDOW_MICROS) + transferTime;
        updatedAt = now;
    }

    double average(long now) {
        return sum * Math.exp((updatedAt - now) / WINDOW_MICROS) / WINDOW_MICROS;
    }
}
