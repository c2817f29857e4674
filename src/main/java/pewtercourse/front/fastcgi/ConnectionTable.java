package pewtercourse.front.fastcgi;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pewtercourse.Log;
import pewtercourse.front.Drain;

/**
 * All connections of a front, and what they hold together. Guards against clients that open hundreds and say
 * nothing, or ask once and stay: on a full table the one that is missed least makes room.
 */
final class ConnectionTable {
    /**
     * {@code NEW}: no request has come whole yet. {@code WORKING}: one is open that has. {@code CLOSING}: its output is
     * shut, and it waits for the client to close.
     */
    enum State {
        NEW,
        WORKING,
        IDLE,
        CLOSING,
        ENDED
    }

    // A client that has just connected is still about to speak.
    private static final long ABOUT_TO_SPEAK = 500_000;

    private final int most;
    private final long heldMost;
    private final Set<FastCgiConnection> fresh = new LinkedHashSet<>();
    private final Set<FastCgiConnection> idle = new LinkedHashSet<>();
    private final Set<FastCgiConnection> closing = new LinkedHashSet<>();
    private int count;
    private long held;
    private Drain.Step draining = Drain.Step.OPEN;

    /** {@code most} connections, that hold at most {@code heldMost} bytes of requests which aren't whole yet. */
    ConnectionTable(int most, long heldMost) {
        this.most = most;
        this.heldMost = heldMost;
    }

    /** Makes room for a new connection; false if all others are at work. */
    boolean admit(long now) {
        if (count < most) {
            return true;
        }
        FastCgiConnection victim = leastMissed(now);
        Log.counted("front.full", "connections", count, "ended", victim == null ? "the newest" : victim);
        if (victim != null) {
            victim.close();
        }
        return victim != null;
    }

    private FastCgiConnection leastMissed(long now) {
        if (!closing.isEmpty()) {
            return first(closing);
        }
        FastCgiConnection silent = first(fresh);
        FastCgiConnection unused = first(idle);
        boolean late = silent != null && now - silent.since() > ABOUT_TO_SPEAK;
        return silent != null && (late || unused == null) ? silent : unused;
    }

    private static FastCgiConnection first(Set<FastCgiConnection> of) {
        Iterator<FastCgiConnection> i = of.iterator();
        return i.hasNext() ? i.next() : null;
    }

    /** Called at each change; the last to become idle is the last to go. */
    void moved(FastCgiConnection c, State from, State to) {
        count += (from == null ? 1 : 0) - (to == State.ENDED ? 1 : 0);
        fresh.remove(c);
        idle.remove(c);
        closing.remove(c);
        switch (to) {
            case NEW -> fresh.add(c);
            case IDLE -> idle.add(c);
            case CLOSING -> closing.add(c);
            default -> {}
        }
    }

    /**
     * How kept connections are treated from now on, those that are idle at once; once requests are refused, also those
     * on which none has come yet.
     */
    void drain(Drain.Step to) {
        draining = to;
        List.copyOf(idle).forEach(FastCgiConnection::rest);
        if (to == Drain.Step.REFUSE) {
            List.copyOf(fresh).forEach(FastCgiConnection::rest);
        }
    }

    Drain.Step draining() {
        return draining;
    }

    /** Bytes more, or fewer, of requests that aren't whole; false past the limit. */
    boolean hold(long bytes) {
        held += bytes;
        return held <= heldMost;
    }

    int count() {
        return count;
    }

    long held() {
        return held;
    }
}
