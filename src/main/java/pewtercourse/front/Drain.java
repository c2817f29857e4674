package pewtercourse.front;

import java.util.EnumMap;
import java.util.Map;

/**
 * Tracks the stage of a director's drain, in which its clients are sent to other directors. Each cause has its own delays
 * for the stages, counted from when the cause began; the furthest stage of all causes applies. Uses no sockets; times are
 * microseconds of the caller's clock.
 */
public final class Drain {
    /**
     * What happens to kept connections. {@code OPEN}: nothing. {@code CLOSE_IDLE_AFTER_PAUSE}: they are closed after a short
     * time without a request. {@code CLOSE_IDLE}: they are closed as soon as no request is open. {@code REFUSE}: the same,
     * and new requests are refused.
     */
    public enum Stage {
        OPEN,
        CLOSE_IDLE_AFTER_PAUSE,
        CLOSE_IDLE,
        REFUSE
    }

    /**
     * Why the director drains, with the delays of the stages in milliseconds. {@code STANDBY}: clients open new
     * connections for another 0.3 s, and 4 s after the operator's call nothing may be open that arrived in the last 2 s,
     * neither a connection nor a request. {@code HANDOVER}: another process accepts all new connections; requests that arrive in the first
     * 0.7 s are served. {@code SHUTDOWN}: clients are served as usual until the cut-off; requests read after the cut-off
     * are refused and never sent to a cache. Clients send requests for 0.6 s, and the platform's kill excuses only what came
     * within 0.7 s.
     */
    public enum Cause {
        STANDBY(400, 1_200, 1_800),
        HANDOVER(0, 350, 650),
        SHUTDOWN(650, 650, 650);

        private final long[] stageDelaysMs;

        Cause(long... stageDelaysMs) {
            this.stageDelaysMs = stageDelaysMs;
        }
    }

    private final Map<Cause, Long> startedAtMicros = new EnumMap<>(Cause.class);

    /** Starts the drain for this cause; no effect if it has started already. */
    public void begin(Cause cause, long nowMicros) {
        startedAtMicros.putIfAbsent(cause, nowMicros);
    }

    /** Ends the drain for this cause. */
    public void end(Cause cause) {
        startedAtMicros.remove(cause);
    }

    /** Whether the drain for this cause has started and not ended. */
    public boolean isActive(Cause cause) {
        return startedAtMicros.containsKey(cause);
    }

    /** The furthest stage of all causes at this time. */
    public Stage stageAt(long nowMicros) {
        int furthestIndex = 0;
        for (Map.Entry<Cause, Long> entry : startedAtMicros.entrySet()) {
            for (int stageIndex = 0; stageIndex < entry.getKey().stageDelaysMs.length; stageIndex++) {
                if (nowMicros - entry.getValue() >= entry.getKey().stageDelaysMs[stageIndex] * 1000) {
                    furthestIndex = Math.max(furthestIndex, stageIndex + 1);
                }
            }
        }
        return Stage.values()[furthestIndex];
    }

    /** Milliseconds until the next stage of any cause, at least 1; -1 if no stage is left. */
    public long millisUntilNextStage(long nowMicros) {
        long nextMs = Long.MAX_VALUE;
        for (Map.Entry<Cause, Long> entry : startedAtMicros.entrySet()) {
            for (long delayMs : entry.getKey().stageDelaysMs) {
                long leftMicros = entry.getValue() + delayMs * 1000 - nowMicros;
                nextMs = leftMicros > 0 ? Math.min(nextMs, (leftMicros + 999) / 1000) : nextMs;
            }
        }
        return nextMs == Long.MAX_VALUE ? -1 : nextMs;
    }
}
