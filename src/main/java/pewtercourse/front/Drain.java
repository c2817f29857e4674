package pewtercourse.front;

import java.util.EnumMap;
import java.util.Map;

/**
 * How far a director has gone in sending its clients away. Each cause has its own plan of steps, counted from when it
 * began; the furthest step counts. Knows no sockets; times are microseconds of the caller's clock.
 */
public final class Drain {
    /** What happens to kept connections: nothing, closed after a rest, closed once empty, and new requests refused. */
    public enum Step {
        OPEN,
        CLOSE_RESTING,
        CLOSE_EMPTY,
        REFUSE
    }

    /**
     * {@code STANDBY}: new connections come for 0.3 s, and 4 s after the call nothing may be held that came in its
     * last 2 s. {@code HANDOVER}: another process takes all new connections; what comes in the first 0.7 s is served.
     * {@code SHUTDOWN}: clients come as ever until the cut-off; what is read after it is refused and never sent on.
     */
    public enum Cause {
        STANDBY(400, 1_200, 1_800),
        HANDOVER(0, 350, 650),
        SHUTDOWN(750, 750, 750);

        private final long[] afterMs;

        Cause(long... afterMs) {
            this.afterMs = afterMs;
        }
    }

    private final Map<Cause, Long> since = new EnumMap<>(Cause.class);

    /** A second call doesn't begin anew. */
    public void begin(Cause cause, long now) {
        since.putIfAbsent(cause, now);
    }

    public void end(Cause cause) {
        since.remove(cause);
    }

    public boolean has(Cause cause) {
        return since.containsKey(cause);
    }

    public Step step(long now) {
        int furthest = 0;
        for (Map.Entry<Cause, Long> e : since.entrySet()) {
            for (int i = 0; i < e.getKey().afterMs.length; i++) {
                if (now - e.getValue() >= e.getKey().afterMs[i] * 1000) {
                    furthest = Math.max(furthest, i + 1);
                }
            }
        }
        return Step.values()[furthest];
    }

    /** Milliseconds until some plan's next step, at least 1; -1 if none is left. */
    public long nextMs(long now) {
        long next = Long.MAX_VALUE;
        for (Map.Entry<Cause, Long> e : since.entrySet()) {
            for (long after : e.getKey().afterMs) {
                long left = e.getValue() + after * 1000 - now;
                next = left > 0 ? Math.min(next, (left + 999) / 1000) : next;
            }
        }
        return next == Long.MAX_VALUE ? -1 : next;
    }
}
