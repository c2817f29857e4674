package pewtercourse;

import io.vertx.core.Vertx;

/** The library's timers, and one way to cancel them. */
public interface Timers {
    long set(long delayMs, Runnable then);

    void cancel(long timer);

    /** Runs it after all that the sockets have at hand has been read. */
    default void afterReads(Runnable then) {
        then.run();
    }

    /** A delay in microseconds as the library takes it: never early, at least a millisecond. */
    static long millis(long micros) {
        return Math.max(1, (micros + 999) / 1000);
    }

    static Timers of(Vertx vertx) {
        return new Timers() {
            @Override
            public long set(long delayMs, Runnable then) {
                return vertx.setTimer(delayMs, id -> then.run());
            }

            @Override
            public void cancel(long timer) {
                vertx.cancelTimer(timer);
            }

            @Override
            public void afterReads(Runnable then) {
                vertx.runOnContext(v -> then.run());
            }
        };
    }
}
