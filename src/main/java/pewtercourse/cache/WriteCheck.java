package pewtercourse.cache;

import java.util.OptionalLong;

/** Decides just before the first byte of a request is written whether it may still be written. */
@FunctionalInterface
public interface WriteCheck {
    /** Returns how long the cache may take, in milliseconds; empty if the request must not be written. */
    OptionalLong timeoutMs();
}
