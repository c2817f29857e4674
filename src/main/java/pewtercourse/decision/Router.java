package pewtercourse.decision;

import java.util.List;

/**
 * The interface of the decision module. A router is told {@link RouterEvent}s and answers each batch with
 * {@link RouterAction}s; it does no I/O and reads no clock. Times are whole microseconds of the caller's clock. A router is
 * not thread-safe.
 */
public interface Router {
    /** Handles events in the order in which they came; all of them happen at {@code now}. */
    List<RouterAction> handle(long now, List<RouterEvent> events);

    /** What operators may see of the router's state. */
    RouterStatus status();
}
