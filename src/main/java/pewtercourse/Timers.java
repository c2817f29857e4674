package pewtercourse;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import pewtercourse.eventloop.EventLoopTurns;

/** Timers of an event loop; tests replace them. */
public interface Timers {
    /** Runs an action after a delay; returns the id of the timer. */
    long set(long delayMs, Runnable action);

    void cancel(long timerId);

    /** Runs an action after the event loop has read what the sockets have received until now. */
    default void afterReads(Runnable action) {
        action.run();
    }

    /** Time since when the sockets may hold bytes that are not read, at most. */
    default long maxUnreadMicros() {
        return 0;
    }

    /** Converts a delay to the milliseconds of {@link #set}: rounded up so that no timer fires early, at least 1. */
    static long millis(long micros) {
        return Math.max(1, (micros + 999) / 1000);
    }

    static Timers of(Vertx vertx) {
        return new Timers() {
            @Override
            public long set(long delayMs, Runnable action) {
                return vertx.setTimer(delayMs, id -> action.run());
            }

            @Override
            public void cancel(long timerId) {
                vertx.cancelTimer(timerId);
            }

            @Override
            public long maxUnreadMicros() {
                EventLoopTurns turns = EventLoopTurns.current();
                return turns == null
                        ? 0
                        : TimeUnit.NANOSECONDS.toMicros(
                                System.nanoTime() - turns.completedPoll().startedNanos());
            }

            @Override
            public void afterReads(Runnable action) {
                EventLoopTurns turns = EventLoopTurns.current();
                if (turns == null || turns.isPolling()) {
                    vertx.runOnContext(v -> action.run());
                } else {
                    Context context = vertx.getOrCreateContext();
                    turns.afterNextPoll(() -> context.runOnContext(v -> action.run()));
                }
            }
        };
    }
}
