package pewtercourse.eventloop;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the turns of one event loop. In each turn the loop polls its sockets, handles all that are ready, then runs tasks
 * and timers. Whatever had arrived before a poll began has been read once that poll is complete. Confined to the thread of
 * its event loop; times are those of {@link System#nanoTime}.
 */
public final class EventLoopTurns {
    /** The number of a poll and the time at which it began. */
    public record Poll(long number, long startedNanos) {}

    private static final ThreadLocal<EventLoopTurns> OF_THREAD = new ThreadLocal<>();

    private List<Runnable> afterNextPoll = new ArrayList<>();
    private List<Runnable> afterThisPoll = List.of();
    private Poll started;
    private Poll completed;
    private boolean polling;

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
        started = new Poll(started.number() + 1, nowNanos);
        polling = true;
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

    /** Whether actions wait for the end of this poll, so that it must not wait for events. */
    boolean hasActionsAfterPoll() {
        return !afterThisPoll.isEmpty();
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
