package pewtercourse.director;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.decision.Router;
import pewtercourse.decision.RouterEvent;

/**
 * A router and the events that it is to be told next, in order of arrival: one batch for each turn of the event loop. The
 * queue of the own zone is there always; others are for requests that another zone's caches take as guests.
 */
final class RouterEventQueue {
    // What a late turn has piled up must not keep the sockets and timers of the others waiting.
    private static final int BATCH_MOST = 256;

    private final Router router;
    private final boolean guest;
    private final LongSupplier clock;
    private final Consumer<RouterEventQueue> scheduler;
    private final Consumer<ProxiedRequest> forget;
    private List<RouterEvent> events = new ArrayList<>();
    private List<ProxiedRequest> leaving = new ArrayList<>();
    private boolean scheduled;
    private long scheduledAt;

    /** {@code scheduler} runs {@link #nextBatch} in a turn of its own; {@code forget} is told of requests that have ended. */
    RouterEventQueue(
            Router router,
            boolean guest,
            LongSupplier clock,
            Consumer<RouterEventQueue> scheduler,
            Consumer<ProxiedRequest> forget) {
        this.router = router;
        this.guest = guest;
        this.clock = clock;
        this.scheduler = scheduler;
        this.forget = forget;
    }

    Router router() {
        return router;
    }

    boolean guest() {
        return guest;
    }

    /** Queues an event; the batch goes to the router when what the loop has at hand is read. */
    void tell(RouterEvent event) {
        events.add(event);
        if (!scheduled) {
            schedule();
        }
    }

    /** Takes back an event that has not been handed over yet; false if it is too late. */
    boolean withdraw(RouterEvent event) {
        for (int i = events.size() - 1; i >= 0; i--) {
            if (events.get(i) == event) {
                events.remove(i);
                return true;
            }
        }
        return false;
    }

    /** Forgets a request that has ended, once the router has handled all that it has been told so far. */
    void forgetAfterBatch(ProxiedRequest exchange) {
        if (scheduled) {
            leaving.add(exchange);
        } else {
            forget.accept(exchange);
        }
    }

    /** How long ago the present turn was asked for; in microseconds of the clock. */
    long late() {
        return clock.getAsLong() - scheduledAt;
    }

    /** Hands over its next events, as many as one turn may handle; what is left has its own turn. */
    void nextBatch(Consumer<List<RouterEvent>> handler) {
        scheduled = false;
        List<RouterEvent> batch = events;
        events = new ArrayList<>();
        if (batch.size() > BATCH_MOST) {
            events.addAll(batch.subList(BATCH_MOST, batch.size()));
            schedule();
            handler.accept(batch.subList(0, BATCH_MOST));
            return;
        }
        List<ProxiedRequest> ended = leaving;
        leaving = new ArrayList<>();
        handler.accept(batch);
        ended.forEach(forget);
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduledAt = clock.getAsLong();
            scheduler.accept(this);
        }
    }
}
