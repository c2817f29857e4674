package pewtercourse.failover;

import java.util.Optional;

/**
 * Which site serves a request.
 *
 * @param site             its name; empty if the request is rejected
 * @param retryAfterMicros if rejected: when the client should retry
 */
public record OverflowDecision(Optional<String> site, long retryAfterMicros) {
    static OverflowDecision serveAt(String site) {
        return new OverflowDecision(Optional.of(site), 0);
    }

    static OverflowDecision reject(long retryAfterMicros) {
        return new OverflowDecision(Optional.empty(), retryAfterMicros);
    }

    /** Whether no site serves the request. */
    public boolean rejected() {
        return site.isEmpty();
    }
}
