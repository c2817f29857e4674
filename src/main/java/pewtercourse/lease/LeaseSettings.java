package pewtercourse.lease;

import java.util.Set;

/**
 * How leases are held and what their holders decide.
 *
 * @param durationMicros    how long a lease is held after its holder proposed the renewal, microseconds
 * @param clockDrift        greatest difference of two members' clock rates, as a share
 * @param retryMicros       after how long a command that showed no effect is proposed again, microseconds
 * @param leaseNames        the leases that are assigned
 * @param maintenanceBudget null where maintenance is not limited
 * @param quotaPolicy       null where quota is not divided
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
     * How many caches of a zone may be drained at once.
     *
     * @param maxDrained     caches, or 0 where {@code maxShare} counts
     * @param maxShare       share of the zone's caches, at least one cache
     * @param maxDrainMicros after how long a drained cache is reinstated, microseconds
     * @param queues         whether requests beyond the budget wait, or are turned down
     */
    public record MaintenanceBudget(int maxDrained, double maxShare, long maxDrainMicros, boolean queues) {
        /** Caches that may be drained at once in a zone of this many caches. */
        public int limit(int zoneSize) {
            return maxDrained > 0 ? maxDrained : Math.max(1, (int) (maxShare * zoneSize));
        }
    }

    /**
     * How quota is divided. The clock drift of leases holds for grants too.
     *
     * @param reservedThousandths what each director keeps without a request, in thousandths of its share
     * @param grantMicros         the longest grant, microseconds
     */
    public record QuotaPolicy(long reservedThousandths, long grantMicros) {
        /** How long the grantee may use a grant after it requested it, microseconds. */
        long usableMicros(double clockDrift) {
            return (long) (grantMicros * (1 - clockDrift));
        }

        /** After how long the others take a grant that they have seen to be over, microseconds. */
        long expiryMicros(double clockDrift) {
            return (long) (grantMicros * (1 + clockDrift));
        }
    }

    /** A director's quota without any grant, in thousandths of its share. */
    public long reservedThousandths() {
        return quotaPolicy == null ? FULL_SHARE : quotaPolicy.reservedThousandths();
    }

    /** How long a holder may act after it proposed the renewal, microseconds. */
    public long usableMicros() {
        return (long) (durationMicros * (1 - clockDrift));
    }

    /** After how long the others take a lease to be over, counted from when they applied its renewal, microseconds. */
    public long expiryMicros() {
        return (long) (durationMicros * (1 + clockDrift));
    }
}
