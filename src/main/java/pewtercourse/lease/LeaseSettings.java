package pewtercourse.lease;

import java.util.Set;

/**
 * Times in microseconds. {@code lease}: how long a duty is held after its holder asked; {@code drift}: the greatest
 * difference of two members' clock rates, as a share; {@code again}: after how long an order that showed no effect is
 * given again; {@code names}: the duties that are given out. {@code maintenanceBudget} and {@code quotaAllocator} may be null.
 */
public record LeaseSettings(
        long lease,
        double drift,
        long again,
        Set<String> names,
        MaintenanceBudget maintenanceBudget,
        QuotaAllocator quotaAllocator) {
    /** {@code most} caches of a zone out at once, or this {@code share} of them (at least one) where it is 0. */
    public record MaintenanceBudget(int most, double share, long outMost, boolean waits) {
        public int limit(int zoneSize) {
            return most > 0 ? most : Math.max(1, (int) (share * zoneSize));
        }
    }

    /**
     * In thousandths of one director's part: what each keeps without asking; and the longest loan. {@code drift} holds
     * for loans too.
     */
    public record QuotaAllocator(long reserve, long loan) {}

    /** A director's part of a cold budget without any loan, in thousandths; 1,000 where nothing is divided. */
    public long kept() {
        return quotaAllocator == null ? 1_000 : quotaAllocator.reserve();
    }

    /** How long a holder may act after it asked. */
    public long held() {
        return (long) (lease * (1 - drift));
    }

    /** How long the others wait after they have applied a renewal. */
    public long waited() {
        return (long) (lease * (1 + drift));
    }
}
