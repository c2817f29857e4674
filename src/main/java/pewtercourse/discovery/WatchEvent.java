package pewtercourse.discovery;

import java.util.List;

/** A numbered event of the control feed. */
public sealed interface WatchEvent {
    /** The event's number: one more than that of the event before it. */
    long number();

    /**
     * A change of the endpoint list.
     *
     * @param complete  whether {@code endpoints} are all that there are, so that those left out are gone
     * @param endpoints the endpoints that are new or have changed
     */
    record EndpointUpdate(long number, boolean complete, List<WatchedEndpoint> endpoints) implements WatchEvent {}

    /**
     * Cached copies have become invalid.
     *
     * @param object   the key of the object; null for every object of the group
     * @param group    the group of objects
     * @param purgedMs when the purge was ordered, in Unix milliseconds
     */
    record Purge(long number, String object, int group, long purgedMs) implements WatchEvent {}

    /** An event of a kind that this version does not know: skipped, though its number counts. */
    record Unknown(long number) implements WatchEvent {}
}
