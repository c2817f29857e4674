package pewtercourse.decision;

import java.util.List;

/**
 * The settings of a router. {@link SettingsChanged} replaces them while the router runs.
 *
 * @param classes classes of requests; a class keeps its index when the settings change
 * @param purgePropagation microseconds until a purge has reached every cache
 */
public record RouterSettings(
        RouterTopology topology,
        List<RequestClass> classes,
        Bandwidth bandwidth,
        RouterFeatures features,
        RetryLimits retry,
        UpstreamFeatures upstream,
        SlowStartSettings slowStart,
        long purgePropagation) {
    public RouterSettings {
        classes = List.copyOf(classes);
    }

    /** Returns a copy of these settings with other classes. */
    public RouterSettings withClasses(List<RequestClass> newClasses) {
        return new RouterSettings(
                topology, newClasses, bandwidth, features, retry, upstream, slowStart, purgePropagation);
    }

    /**
     * Returns settings for a router that sends requests to the caches of another zone: the bandwidth of that
     * zone's link for fills is unknown, and the router does not gossip.
     */
    public RouterSettings forRemoteZone(int zone, List<RequestClass> newClasses) {
        return new RouterSettings(
                topology.inZone(zone),
                newClasses,
                new Bandwidth(bandwidth.clientKbPerSecond(), 0),
                features.withoutGossip(),
                retry,
                upstream,
                slowStart,
                purgePropagation);
    }
}
