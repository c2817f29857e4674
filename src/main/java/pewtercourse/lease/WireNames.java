package pewtercourse.lease;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * The names of duties in the log, in snapshots and between members. They are those of the first version: members of
 * different versions work together during a rolling restart, and what is kept on disk stays readable.
 */
final class WireNames {
    private static final Map<String, String> TO_WIRE =
            Map.of(ClusterState.MAINTENANCE, "warden", ClusterState.QUOTA, "divider");
    private static final Map<String, String> FROM_WIRE =
            TO_WIRE.entrySet().stream().collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

    private WireNames() {}

    static String toWire(String duty) {
        return TO_WIRE.getOrDefault(duty, duty);
    }

    static String fromWire(String name) {
        return FROM_WIRE.getOrDefault(name, name);
    }
}
