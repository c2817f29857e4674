package pewtercourse.lease;

import java.util.Set;

/**
 * The durations of leases, and the limits by which their holders decide.
 *
 * @param durationMicros    duration of a lease from the proposal of its renewal, microseconds
 * @param clockDrift        maximum relative difference between the clock rates of two members
 * @param retryMicros       time after which a command without effect is proposed again, microseconds
 * @param leaseNames        names of the leases that are assigned
 * @param maintenanceBudget null if maintenance is not limited
 * @param quotaPolicy       null if quota is not divided
 */
public record LeaseSettings(
        long durationMicros,
        double clockDrift,
        long retryMicros,
        Set<String> leaseNames,
        MaintenanceBudget maintenanceBudget,
        QuotaPolicy quotaPolicy) {
    /** One director's share of quota, in thousandths. */
    static final long FULL_SHARE = 1_000;

    /**
     * The limit on how many caches of a zone are drained for maintenance at the same time, and for how long.
     *
     * @param maxDrained     maximum number of drained caches; 0 if {@code maxShare} applies instead
     * @param maxShare       maximum share of the zone's caches; it always allows one cache
     * @param maxDrainMicros time after which a drained cache is reinstated, microseconds
     * @param queues         whether requests beyond the budget wait; otherwise they are rejected
     */
    public record MaintenanceBudget(int maxDrained, double maxShare, long maxDrainMicros, boolean queues) {
        /** Maximum number of caches that may be drained at the same time in a zone of {@code zoneSize} caches. */
        public int limit(int zoneSize) {
            return maxDrained > 0 ? maxDrained : Math.max(1, (int) (maxShare * zoneSize));
        }
    }

    /**
     * How quota is divided among the directors. The clock drift of the lease settings applies to grants too.
     *
     * @param reservedThousandths quota that each director keeps without a request, in thousandths of its share
     * @param grantMicros         maximum duration of a grant, microseconds
     */
    public record QuotaPolicy(long reservedThousandths, long grantMicros) {
        /** How long the grantee may use a grant, counted from its request, microseconds. */
        long usableMicros(double clockDrift) {
            return (long) (grantMicros * (1 - clockDrift));
        }

        /**
         * Time after which the other members consider a grant expired, counted from when they applied it, microseconds.
         */
        long expiryMicros(double clockDrift) {
            return (long) (grantMicros * (1 + clockDrift));
        }
    }

    /** A director's quota without any grant, in thousandths of its share. */
    public long reservedThousandths() {
        return quotaPolicy == null ? FULL_SHARE : quotaPolicy.reservedThousandths();
    }

    /** How long a holder may act by its lease, counted from the proposal of the renewal, microseconds. */
    public long usableMicros() {
        return (long) (durationMicros * (1 - clockDrift));
    }

    /**
     * Time after which the other members consider a lease expired, counted from when they applied its renewal,
     * microseconds.
     */
    public long expiryMicros() {
        return (long) (durationMicros * (1 + clockDrift));
    }
}
