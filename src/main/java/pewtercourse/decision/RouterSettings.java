package pewtercourse.decision;

import java.util.List;

/**
 * The settings of a router. {@link SettingsChanged} replaces them while it runs.
 *
 * @param classes a class keeps its place when settings change
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

    /** The same with these classes. */
    public RouterSettings withClasses(List<RequestClass> others) {
        return new RouterSettings(topology, others, bandwidth, features, retry, upstream, slowStart, purgePropagation);
    }

    /**
     * For a router that sends requests to the caches of another zone: what its link carries is not known, and it gossips
     * with no one.
     */
    public RouterSettings forRemoteZone(int zone, List<RequestClass> others) {
        return new RouterSettings(
                topology.inZone(zone),
                others,
                new Bandwidth(bandwidth.clientKbPerSecond(), 0),
                features.withoutGossip(),
                retry,
                upstream,
                slowStart,
                purgePropagation);
    }
}
