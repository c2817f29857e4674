package pewtercourse.config;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import pewtercourse.lease.LeaseNames;
import pewtercourse.lease.LeaseSettings;

/** Reads and checks the key {@code duties} of a member's file: the leases and their settings. */
final class LeaseSettingsReader {
    private static final Map<String, String> RENAMED_LEASES =
            Map.of("warden", LeaseNames.MAINTENANCE, "divider", LeaseNames.QUOTA);
    private static final Set<String> MAINTENANCE_KEYS = Set.of("most", "share", "out_most_ms", "beyond");
    private static final Set<String> QUOTA_KEYS = Set.of("reserve", "loan_ms");
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long WEEK_MILLIS = 7 * 24 * HOUR_MILLIS;
    private static final double MIN_RESERVE = 0.05;
    private static final double DEFAULT_RESERVE = 0.5;
    private static final double MAX_RESERVE = 1;
    private static final int THOUSANDTHS = 1_000;

    private LeaseSettingsReader() {}

    /**
     * Reads the settings of the leases; there are no leases if the key is absent.
     *
     * @param leaseMicros how long a lease lasts
     * @param drift       the maximum difference of two members' clock rates, as a fraction
     * @param retryMicros delay before a command that had no effect is repeated
     */
    static LeaseSettings read(JsonSection file, long leaseMicros, double drift, long retryMicros) {
        JsonObject leases = leases(file);
        LeaseSettings.MaintenanceBudget maintenanceBudget = null;
        LeaseSettings.QuotaPolicy quotaPolicy = null;
        for (String name : leases.fieldNames()) {
            String key = "duties." + name;
            if (!(leases.getValue(name) instanceof JsonObject json)) {
                throw file.invalid(key, "is not an object");
            }
            JsonSection lease = new JsonSection(key + ".", json);
            switch (name) {
                case LeaseNames.MAINTENANCE -> maintenanceBudget = maintenanceBudget(lease);
                case LeaseNames.QUOTA -> quotaPolicy = quotaPolicy(lease);
                default -> throw file.invalid(key, unknownLease(name));
            }
        }
        return new LeaseSettings(
                leaseMicros, drift, retryMicros, new TreeSet<>(leases.fieldNames()), maintenanceBudget, quotaPolicy);
    }

    private static JsonObject leases(JsonSection file) {
        Object value = file.json().getValue("duties");
        if (value == null) {
            return new JsonObject();
        }
        if (!(value instanceof JsonObject leases)) {
            throw file.invalid("duties", "is not an object");
        }
        return leases;
    }

    private static String unknownLease(String name) {
        return JsonFields.unusable(
                name, RENAMED_LEASES, "is no duty: there are " + LeaseNames.MAINTENANCE + " and " + LeaseNames.QUOTA);
    }

    private static LeaseSettings.MaintenanceBudget maintenanceBudget(JsonSection lease) {
        requireKnownKeys(lease, MAINTENANCE_KEYS);
        int maxOut = (int) lease.number("most", 0);
        double share = lease.number("share", 0);
        if (maxOut > 0 == share > 0 || maxOut < 0 || share < 0 || share > 1) {
            throw lease.invalid("most", "or share (up to 1), one of them, has to be over 0");
        }
        Object beyond = lease.json().getValue("beyond", "wait");
        if (!beyond.equals("wait") && !beyond.equals("refuse")) {
            throw lease.invalid("beyond", "'" + beyond + "' is neither wait nor refuse");
        }
        long maxOutMicros = lease.microsBetween("out_most_ms", HOUR_MILLIS, 100, WEEK_MILLIS);
        return new LeaseSettings.MaintenanceBudget(maxOut, share, maxOutMicros, beyond.equals("wait"));
    }

    private static LeaseSettings.QuotaPolicy quotaPolicy(JsonSection lease) {
        requireKnownKeys(lease, QUOTA_KEYS);
        double reserve = lease.number("reserve", DEFAULT_RESERVE);
        if (reserve < MIN_RESERVE || reserve > MAX_RESERVE) {
            throw lease.invalid("reserve", "is not from 0.05 to 1");
        }
        long loanMicros = lease.microsBetween("loan_ms", 1_000, 50, 60_000);
        return new LeaseSettings.QuotaPolicy((long) (reserve * THOUSANDTHS), loanMicros);
    }

    private static void requireKnownKeys(JsonSection lease, Set<String> known) {
        lease.json().fieldNames().stream()
                .filter(key -> !known.contains(key))
                .findFirst()
                .ifPresent(key -> {
                    throw lease.invalid(key, "is no key of this duty");
                });
    }
}
