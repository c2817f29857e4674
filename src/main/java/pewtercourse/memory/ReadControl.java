package pewtercourse.memory;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import pewtercourse.Log;

/**
 * Decides which responses of caches are read, so that the bytes of responses and answers stay within {@link MemoryLimits}
 * whatever caches send and clients leave unread. A response is read only once memory for all of it is reserved, in the order
 * in which the heads came; so each response that is read can become complete and its bytes be freed. Confined to the event
 * loop.
 */
public final class ReadControl {
    /** A response whose reading can be paused. */
    public interface PausableRead {
        /** Stops reading from the cache, which then stops sending. */
        void pause();

        /** Reads on. */
        void resume();
    }

    /** Bytes that a response takes when it is complete, and those that have come with its head. */
    private record Waiting(int bytes, int receivedBytes) {
        int missingBytes() {
            return bytes - receivedBytes;
        }
    }

    private final HeldBytes held;
    private final Map<PausableRead, Integer> countedBytes = new HashMap<>();
    private final Map<PausableRead, Waiting> waiting = new LinkedHashMap<>(); // In the order of their heads.
    private long waitingBytes;
    private long pauses;
    private long pausesBeforeLimit;

    /** Creates a control that pauses nothing as long as {@code held} is within its limits. */
    public ReadControl(HeldBytes held) {
        this.held = held;
        held.onReleased(this::resumeWaiting);
    }

    /**
     * Reserves the memory of a response whose head has come, or pauses its reading until there is enough.
     *
     * @param bytes memory that the response takes when it is complete
     * @param receivedBytes memory that it takes already
     */
    public void reserve(PausableRead read, int bytes, int receivedBytes) {
        Waiting reservation = new Waiting(bytes, receivedBytes);
        count(read, receivedBytes);
        if (waiting.isEmpty() && fits(reservation)) {
            count(read, reservation.missingBytes());
            return;
        }
        boolean first = waiting.isEmpty();
        waiting.put(read, reservation);
        waitingBytes += reservation.missingBytes();
        pauses++;
        read.pause();
        if (first) {
            logLimited();
        }
    }

    private void count(PausableRead read, int bytes) {
        countedBytes.merge(read, bytes, Integer::sum);
        held.add(MemoryStage.RECEIVING, bytes);
    }

    private boolean fits(Waiting reservation) {
        return held.responseBytes() + reservation.missingBytes()
                <= held.limits().responseBytes();
    }

    /** Frees the memory of a response that is complete or given up. */
    public void release(PausableRead read) {
        Waiting reservation = waiting.remove(read);
        if (reservation != null) {
            waitingBytes -= reservation.missingBytes();
            read.resume();
        }
        Integer bytes = countedBytes.remove(read);
        if (bytes != null) {
            held.release(MemoryStage.RECEIVING, bytes);
        }
    }

    private void resumeWaiting() {
        boolean limited = !waiting.isEmpty();
        Iterator<Map.Entry<PausableRead, Waiting>> oldest = waiting.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<PausableRead, Waiting> next = oldest.next();
            if (!fits(next.getValue())) {
                return;
            }
            oldest.remove();
            waitingBytes -= next.getValue().missingBytes();
            count(next.getKey(), next.getValue().missingBytes());
            next.getKey().resume();
        }
        if (limited) {
            logFreed();
        }
    }

    private void logLimited() {
        pausesBeforeLimit = pauses - 1;
        Log.counted(
                "memory.limited",
                "receiving",
                held.bytes(MemoryStage.RECEIVING),
                "answers",
                held.bytes(MemoryStage.ANSWERS),
                "limit",
                held.limits().responseBytes());
    }

    private void logFreed() {
        Log.counted(
                "memory.freed",
                "receiving",
                held.bytes(MemoryStage.RECEIVING),
                "answers",
                held.bytes(MemoryStage.ANSWERS),
                "pauses",
                pauses - pausesBeforeLimit);
    }

    /**
     * Whether the response to a new request can be read soon: those that wait for memory take no more than the limit, so
     * that the last of them waits about as long as one response takes.
     */
    public boolean admitsRequests() {
        return waitingBytes <= held.limits().responseBytes();
    }

    /** Number of responses whose reading is paused now. */
    public int pausedReads() {
        return waiting.size();
    }

    /** Number of pauses so far. */
    public long pauses() {
        return pauses;
    }
}
