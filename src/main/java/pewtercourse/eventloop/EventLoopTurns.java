package pewtercourse.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Records the turns of one event loop. In each turn the loop polls its sockets, handles all that are ready, then runs tasks
 * and timers. Whatever had arrived before a poll began has been read once that poll is complete. Confined to the thread of
 * its event loop unless a method says otherwise; times are those of {@link System#nanoTime}.
 */
public final class EventLoopTurns {
    /** The number of a poll and the time at which it began. */
    public record Poll(long number, long startedNanos) {}

    private record LongTurn(long startedNanos, long endedNanos) {}

    /** A turn from this length on may be a stop of the whole process. */
    static final long LONG_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Bytes of all sockets that one poll reads before each further socket is read only once. */
    static final int MAX_BYTES_PER_POLL = 1 << 20;

    /** The JVM handles a signal within this time after the process runs again. */
    static final long SIGNAL_HANDLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final ThreadLocal<EventLoopTurns> OF_THREAD = new ThreadLocal<>();

    private List<Runnable> afterNextPoll = new ArrayList<>();
    private List<Runnable> afterThisPoll = List.of();
    private volatile Poll started;
    private volatile LongTurn lastLongTurn; // Null before the first one.
    private Poll completed;
    private boolean polling;
    private long bytesReadInPoll;

    EventLoopTurns() {
        started = new Poll(0, System.nanoTime());
        completed = started;
    }

    /** The turns of the event loop that runs on this thread; null if its loop does not record them. */
    public static EventLoopTurns current() {
        return OF_THREAD.get();
    }

    void bindToThread() {
        OF_THREAD.set(this);
    }

    /** A poll begins; bytes that arrive from now on may be read by the next one only. */
    void beginPoll(long nowNanos) {
        if (nowNanos - started.startedNanos() >= LONG_TURN_NANOS) {
            lastLongTurn = new LongTurn(started.startedNanos(), nowNanos);
        }
        started = new Poll(started.number() + 1, nowNanos);
        polling = true;
        bytesReadInPoll = 0;
        afterThisPoll = afterNextPoll;
        afterNextPoll = new ArrayList<>();
    }

    /** The sockets that the poll found ready have been handled. */
    void endPoll() {
        polling = false;
        completed = started;
        List<Runnable> due = afterThisPoll;
        afterThisPoll = List.of();
        due.forEach(Runnable::run);
    }

    /** Bytes were read from a socket. */
    void recordRead(int bytes) {
        bytesReadInPoll += bytes;
    }

    /** Whether a socket that has more to read may be read again before the others have their turn. */
    boolean mayReadMore() {
        return !polling || bytesReadInPoll < MAX_BYTES_PER_POLL;
    }

    /** Whether actions wait for the end of this poll, so that it must not wait for events. */
    boolean hasActionsAfterPoll() {
        return !afterThisPoll.isEmpty();
    }

    /**
     * The earliest time at which a signal that is handled now may have been sent: while the process is stopped, signals
     * wait. May be called by any thread.
     */
    public long earliestSignalNanos(long nowNanos) {
        LongTurn longTurn = lastLongTurn;
        boolean handledAfterLongTurn = longTurn != null && nowNanos - longTurn.endedNanos() <= SIGNAL_HANDLING_NANOS;
        return handledAfterLongTurn ? longTurn.startedNanos() : started.startedNanos();
    }

    /** Runs an action once a poll that begins later than now is complete. */
    public void afterNextPoll(Runnable action) {
        afterNextPoll.add(action);
    }

    /** Whether the loop handles the sockets that a poll found ready. */
    public boolean isPolling() {
        return polling;
    }

    /** The poll that began last; it may not be complete. */
    public Poll startedPoll() {
        return started;
    }

    /** The last complete poll: all that had arrived when it began has been read. */
    public Poll completedPoll() {
        return completed;
    }
}
