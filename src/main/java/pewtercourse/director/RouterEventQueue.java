package pewtercourse.director;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.decision.Router;
import pewtercourse.decision.RouterEvent;

/**
 * Queues the events for one router in order of arrival and passes them on in one batch for each turn of the
 * event loop, so that the sockets are read between two batches. The local router chooses among the caches of this director's zone; a remote-zone router chooses
 * among the caches of another zone that serve some of this director's requests. Confined to the event loop;
 * times are microseconds.
 */
final class RouterEventQueue {
    // The events of one batch are handled before the sockets are read again: a leave or a drain that arrives meanwhile
    // waits for no more than these.
    private static final int MAX_BATCH_EVENTS = 32;

    private final Router router;
    private final boolean remoteZone;
    private final LongSupplier clock;
    private final Consumer<RouterEventQueue> scheduler;
    private final Consumer<ProxiedRequest> onRequestRemoved;
    private final NavigableMap<Long, RouterEvent> eventsByNumber = new TreeMap<>();
    private final Map<Long, ProxiedRequest> finishedByLastEvent = new HashMap<>();
    private long nextNumber;
    private long handledBefore; // All events with smaller numbers are handled or removed.
    private boolean scheduled;
    private long scheduledAt;

    /**
     * Creates an empty queue.
     *
     * @param scheduler        calls {@link #handleNextBatch} once the event loop has read its sockets
     * @param onRequestRemoved receives the finished requests that no event refers to any more
     */
    RouterEventQueue(
            Router router,
            boolean remoteZone,
            LongSupplier clock,
            Consumer<RouterEventQueue> scheduler,
            Consumer<ProxiedRequest> onRequestRemoved) {
        this.router = router;
        this.remoteZone = remoteZone;
        this.clock = clock;
        this.scheduler = scheduler;
        this.onRequestRemoved = onRequestRemoved;
    }

    Router router() {
        return router;
    }

    /** Whether the caches that the router chooses among belong to another zone. */
    boolean isRemoteZone() {
        return remoteZone;
    }

    /** Adds an event to the next batch; returns its number. */
    long enqueue(RouterEvent event) {
        long number = nextNumber++;
        eventsByNumber.put(number, event);
        if (!scheduled) {
            schedule();
        }
        return number;
    }

    /** Removes an event that has not been passed to the router yet; false if it has. */
    boolean remove(long number) {
        return eventsByNumber.remove(number) != null;
    }

    /**
     * Removes a finished request once the router has handled the last event that refers to it. Other events may wait
     * much longer, and the request holds memory.
     */
    void removeAfterEvent(ProxiedRequest request, long lastEventNumber) {
        if (lastEventNumber < handledBefore) {
            onRequestRemoved.accept(request);
        } else {
            finishedByLastEvent.put(lastEventNumber, request);
        }
    }

    /** Time since the current turn was scheduled. */
    long turnDelayMicros() {
        return clock.getAsLong() - scheduledAt;
    }

    /**
     * Passes the next events to {@code handler}, as many as one turn may handle, and schedules a turn for the
     * rest.
     */
    void handleNextBatch(Consumer<List<RouterEvent>> handler) {
        scheduled = false;
        List<Long> numbers = new ArrayList<>(MAX_BATCH_EVENTS);
        List<RouterEvent> batch = new ArrayList<>(MAX_BATCH_EVENTS);
        while (!eventsByNumber.isEmpty() && batch.size() < MAX_BATCH_EVENTS) {
            Map.Entry<Long, RouterEvent> next = eventsByNumber.pollFirstEntry();
            numbers.add(next.getKey());
            batch.add(next.getValue());
        }
        if (!eventsByNumber.isEmpty()) {
            schedule();
        }
        handler.accept(batch);
        if (!numbers.isEmpty()) {
            handledBefore = numbers.get(numbers.size() - 1) + 1;
        }
        numbers.forEach(this::removeFinishedAt);
    }

    private void removeFinishedAt(long lastEventNumber) {
        ProxiedRequest finished = finishedByLastEvent.remove(lastEventNumber);
        if (finished != null) {
            onRequestRemoved.accept(finished);
        }
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduledAt = clock.getAsLong();
            scheduler.accept(this);
        }
    }
}
