package pewtercourse.eventloop;

import java.util.OptionalLong;

/** What the kernel tells of the bytes that were written to one socket. Used on the event loop; never blocks. */
public interface SendQueue {
    /** Asks the kernel anew; what it tells is known some milliseconds later. */
    void refresh();

    /** Whether the kernel was asked at or after this time, in microseconds, and has answered. */
    boolean isKnownSince(long micros);

    /** Bytes that the peer had not acknowledged when the kernel was last asked; empty if that was not to be learnt. */
    OptionalLong unacknowledgedBytes();
}
