package pewtercourse.failover;

import java.util.Optional;

/**
 * The site that serves a request, or the request's rejection.
 *
 * @param site             the name of the site; empty if the request is rejected
 * @param retryAfterMicros if rejected: the delay after which the client should retry
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
