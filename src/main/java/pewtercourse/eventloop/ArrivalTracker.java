package pewtercourse.eventloop;

import java.util.function.LongSupplier;

/**
 * Tells for one socket the earliest time at which what is read now may have arrived: the last time at which the socket was
 * known to be empty. That is known from a read that found nothing, and from a complete poll that did not report the socket.
 * Confined to the event loop; times are those of {@link System#nanoTime}.
 */
public final class ArrivalTracker {
    private final EventLoopTurns turns; // Null if the loop does not record them.
    private final LongSupplier nanoClock;
    private long emptyAtNanos;
    // Neither this poll nor an earlier one shows that the socket was empty.
    private long uncertainPoll;
    private boolean paused;

    /**
     * Creates a tracker on the event loop of its socket.
     *
     * @param emptyAtNanos a time at which nothing had arrived yet
     */
    public ArrivalTracker(EventLoopTurns turns, LongSupplier nanoClock, long emptyAtNanos) {
        this.turns = turns;
        this.nanoClock = nanoClock;
        this.emptyAtNanos = emptyAtNanos;
        this.uncertainPoll = turns == null ? 0 : turns.startedPoll().number();
    }

    /** Called before the socket is read, be it once or several times in a row. */
    public void beginReads() {
        if (turns == null) {
            emptyAtNanos = nanoClock.getAsLong();
            return;
        }
        if (!paused && uncertainPoll < turns.completedPoll().number()) {
            recordEmptyAt(turns.completedPoll().startedNanos());
        }
        uncertainPoll = turns.startedPoll().number();
    }

    /** A read found this many bytes. */
    void recordRead(int bytes) {
        if (turns != null) {
            turns.recordRead(bytes);
        }
    }

    /** Whether the socket may be read again before the other sockets have their turn. */
    boolean mayReadMore() {
        return turns == null || turns.mayReadMore();
    }

    /** A read that began at this time found nothing. */
    public void recordEmptyAt(long nanos) {
        if (nanos - emptyAtNanos > 0) {
            emptyAtNanos = nanos;
        }
    }

    /** The polls do not report the socket from now on. */
    public void pause() {
        paused = true;
    }

    /** The next poll reports the socket again. */
    public void resume() {
        paused = false;
        uncertainPoll = turns == null ? 0 : turns.startedPoll().number();
    }

    /** The last time at which the socket was known to be empty: what was read last has arrived later. */
    public long emptyAtNanos() {
        return emptyAtNanos;
    }

    /** The longest time that the bytes that were read last may have waited; 0 if the loop does not record its turns. */
    public long longestWaitNanos() {
        return turns == null ? 0 : nanoClock.getAsLong() - emptyAtNanos;
    }
}
