package pewtercourse.director;

import java.util.ArrayList;
import java.util.List;
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
    private List<RouterEvent> events = new ArrayList<>();
    private List<ProxiedRequest> finishedRequests = new ArrayList<>();
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

    /** Adds an event to the next batch. */
    void enqueue(RouterEvent event) {
        events.add(event);
        if (!scheduled) {
            schedule();
        }
    }

    /** Removes an event that has not been passed to the router yet; false if it has. */
    boolean remove(RouterEvent event) {
        for (int i = events.size() - 1; i >= 0; i--) {
            if (events.get(i) == event) {
                events.remove(i);
                return true;
            }
        }
        return false;
    }

    /** Removes a finished request once the router has handled the events that are queued now. */
    void removeAfterBatch(ProxiedRequest request) {
        if (scheduled) {
            finishedRequests.add(request);
        } else {
            onRequestRemoved.accept(request);
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
        List<RouterEvent> batch = events;
        events = new ArrayList<>();
        if (batch.size() > MAX_BATCH_EVENTS) {
            events.addAll(batch.subList(MAX_BATCH_EVENTS, batch.size()));
            schedule();
            handler.accept(batch.subList(0, MAX_BATCH_EVENTS));
            return;
        }
        List<ProxiedRequest> removed = finishedRequests;
        finishedRequests = new ArrayList<>();
        handler.accept(batch);
        removed.forEach(onRequestRemoved);
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduledAt = clock.getAsLong();
            scheduler.accept(this);
        }
    }
}
