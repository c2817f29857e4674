package pewtercourse.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * One duty at the member that holds it. It counts from before it asked, by its own clock, so that it ends before anybody
 * else takes it to be over; asked again at a third of it. Before each act its holder asks {@link #token}.
 */
final class Lease {
    private static final int PENDING_MOST = 16;

    final long token;
    private final LeaseSettings set;
    private final Map<Long, Long> asked = new LinkedHashMap<>(); // By the number of the command: when.
    private long until = Long.MIN_VALUE, renewAt = Long.MIN_VALUE, handOnAt = Long.MIN_VALUE;
    private boolean handedOn;

    Lease(LeaseSettings set, long token) {
        this.set = set;
        this.token = token;
    }

    /** Whether to ask for a renewal now. */
    boolean due(long now) {
        return !handedOn && now >= renewAt;
    }

    /** A renewal is asked for, by the command of this number. */
    void ask(long now, long id) {
        if (asked.size() >= PENDING_MOST) {
            asked.remove(asked.keySet().iterator().next());
        }
        asked.put(id, now);
        renewAt = now + set.again();
    }

    /** The renewal of this number was agreed; {@code from} tells from when it counts. */
    void renewed(long id, LongUnaryOperator from) {
        Long askedAt = asked.remove(id);
        if (askedAt == null) {
            return; // Nobody knows when it was asked for: it extends nothing.
        }
        long at = from.applyAsLong(askedAt);
        until = Math.max(until, at + set.held());
        renewAt = at + set.lease() / 3;
        asked.clear();
    }

    /** The token, or 0: it must not act now. */
    long token(long now) {
        return !handedOn && now < until ? token : 0;
    }

    /** Microseconds left, 0 for none. */
    long left(long now) {
        return handedOn ? 0 : Math.max(0, until - now);
    }

    /** From now on it does not act. */
    void handOn() {
        handedOn = true;
    }

    boolean handedOn() {
        return handedOn;
    }

    /** Whether to say now, for the first time or again, that it is handed on. */
    boolean again(long now) {
        boolean due = now >= handOnAt;
        handOnAt = due ? now + set.again() : handOnAt;
        return due;
    }
}
