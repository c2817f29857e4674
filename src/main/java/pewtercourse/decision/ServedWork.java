package pewtercourse.decision;

/** Work that an endpoint has served of late: transfers at once, as an exponentially decaying average. */
final class ServedWork {
    /** Microseconds over which it is averaged. */
    private static final double WINDOW = 4_000_000;

    private double sum;
    private long updatedAt;

    void add(long now, double transferTime) {
        sum = sum * Math.exp((updatedAt - now) / WINDOW) + transferTime;
        updatedAt = now;
    }

    double average(long now) {
        return sum * Math.exp((updatedAt - now) / WINDOW) / WINDOW;
    }
}
