package pewtercourse.lease;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * The names of the leases that this version knows. The log, snapshots and messages between members keep the names of
 * the first version. Members of different versions can therefore work together during a rolling upgrade, and stored
 * data stays readable.
 */
public final class LeaseNames {
    /** Its holder decides when caches may be drained for maintenance. */
    public static final String MAINTENANCE = "maintenance";
    /** Its holder divides the quota of cold caches among the directors. */
    public static final String QUOTA = "quota";
    /** Its holder declares sites lost and recovered, and publishes failover plans. */
    public static final String SITES = "sites";

    private static final Map<String, String> TO_WIRE = Map.of(MAINTENANCE, "warden", QUOTA, "divider");
    private static final Map<String, String> FROM_WIRE =
            TO_WIRE.entrySet().stream().collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

    private LeaseNames() {}

    static String toWire(String lease) {
        return TO_WIRE.getOrDefault(lease, lease);
    }

    static String fromWire(String name) {
        return FROM_WIRE.getOrDefault(name, name);
    }
}
