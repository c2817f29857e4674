package pewtercourse.cache;

import java.util.OptionalLong;

/** Decides whether a request may be written to a cache, up to the moment at which its bytes leave. */
public interface WriteCheck {
    /** Reads what has arrived and returns whether the request may be written. */
    boolean mayWrite();

    /**
     * Returns how long the cache may take, in milliseconds. Called just before each write of bytes of the request; empty
     * if {@link #mayWrite} was evaluated too long ago or the time is over, and nothing more must be written.
     */
    OptionalLong timeoutMs();
}
