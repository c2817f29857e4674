package pewtercourse.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import pewtercourse.Timers;

/**
 * The open connections of callers. Guards against callers that connect and never finish a call: each has a while, and
 * on a full table the one that has waited longest makes room, so that they never keep the others waiting.
 */
final class CallTable<C> {
    static final int MOST = 12;
    static final long WHOLE_MS = 2_000;

    private final Map<C, Long> open = new LinkedHashMap<>(); // With their timers, the oldest first.
    private final Timers timers;
    private final java.util.function.Consumer<C> close;

    /** {@code close} ends a connection; its end is told to {@link #ended} as for every other. */
    CallTable(Timers timers, java.util.function.Consumer<C> close) {
        this.timers = timers;
        this.close = close;
    }

    void opened(C c) {
        if (open.size() >= MOST) {
            end(open.keySet().iterator().next());
        }
        open.put(c, timers.set(WHOLE_MS, () -> end(c)));
    }

    void ended(C c) {
        Long timer = open.remove(c);
        if (timer != null) {
            timers.cancel(timer);
        }
    }

    int size() {
        return open.size();
    }

    private void end(C c) {
        ended(c);
        close.accept(c);
    }
}
