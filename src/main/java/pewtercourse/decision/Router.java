package pewtercourse.decision;

import java.util.List;

/**
 * The interface of the decision module. A router receives {@link RouterEvent}s and answers each batch with
 * {@link RouterAction}s. It does no I/O and reads no clock. Times are whole microseconds of the caller's clock.
 * A router is not thread-safe.
 */
public interface Router {
    /** Handles events in the order in which they arrived, as if all of them happened at {@code now}. */
    List<RouterAction> handle(long now, List<RouterEvent> events);

    /** The part of the router's state that operators may see. */
    RouterStatus status();
}
