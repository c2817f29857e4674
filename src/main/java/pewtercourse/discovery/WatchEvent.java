package pewtercourse.discovery;

import java.util.List;

/** A numbered event of the control feed. */
public sealed interface WatchEvent {
    /** Returns the event's number, which is one more than that of the previous event. */
    long number();

    /** Returns the latest time that the event states, in Unix milliseconds; 0 if it states none. */
    default long latestTimestampMs() {
        return 0;
    }

    /**
     * A change of the endpoint list.
     *
     * @param complete  whether {@code endpoints} is the complete list, so that all others are gone
     * @param endpoints the new and changed endpoints
     */
    record EndpointUpdate(long number, boolean complete, List<WatchedEndpoint> endpoints) implements WatchEvent {
        @Override
        public long latestTimestampMs() {
            return endpoints.stream()
                    .mapToLong(WatchedEndpoint::startedMs)
                    .max()
                    .orElse(0);
        }
    }

    /**
     * An invalidation of cached copies.
     *
     * @param object   the key of the object; null for all objects of the group
     * @param group    the group of objects
     * @param purgedMs when the purge was ordered, in Unix milliseconds
     */
    record Purge(long number, String object, int group, long purgedMs) implements WatchEvent {
        @Override
        public long latestTimestampMs() {
            return purgedMs;
        }
    }

    /** An event of a kind that this version does not know. It is skipped, but its number counts as handled. */
    record Unknown(long number) implements WatchEvent {}
}
