package pewtercourse.lease;

/**
 * The agreed state of one lease.
 *
 * @param holder            member that holds the lease; empty if no member holds it
 * @param token             fencing token, from an increasing counter for all leases; 0 if the lease was never assigned
 * @param renewals          number of renewals; 0 until the holder takes up the lease
 * @param transferRequested whether the holder has to release the lease
 * @param preferredHolder   if a transfer is requested, the member to which the holder releases the lease, or empty for
 *                          any member; if no member holds the lease, the member that has just released it and gets it
 *                          back only if there is no other
 */
public record LeaseRecord(String holder, long token, long renewals, boolean transferRequested, String preferredHolder) {
    static final LeaseRecord NEVER_ASSIGNED = assigned("", 0);

    static LeaseRecord assigned(String holder, long token) {
        return new LeaseRecord(holder, token, 0, false, "");
    }

    static LeaseRecord released(String successor, long token, String formerHolder) {
        return new LeaseRecord(successor, token, 0, false, successor.isEmpty() ? formerHolder : "");
    }

    LeaseRecord renewed() {
        return new LeaseRecord(holder, token, renewals + 1, transferRequested, preferredHolder);
    }

    LeaseRecord withTransferRequested(String preferred) {
        return new LeaseRecord(holder, token, renewals, true, preferred);
    }

    /** Whether a member holds the lease by the agreed state. The lease may have expired nevertheless. */
    public boolean isHeld() {
        return !holder.isEmpty();
    }

    boolean isHeldBy(String member, long memberToken) {
        return token == memberToken && holder.equals(member);
    }
}
