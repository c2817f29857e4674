package pewtercourse.lease;

/**
 * What is agreed on one lease.
 *
 * @param holder            member that holds it; empty if nobody does
 * @param token             fencing token, growing over all leases; 0 if it was never assigned
 * @param renewals          0 while it is assigned and not taken up yet
 * @param transferRequested whether the holder is to release it, to {@code preferredHolder} or, if that is empty, to any
 * @param preferredHolder   see above; of a lease that nobody holds, who has just released it and gets it back only if
 *                          there is no other
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

    LeaseRecord transferTo(String preferred) {
        return new LeaseRecord(holder, token, renewals, true, preferred);
    }

    /** Whether some member holds it, by the agreed state; its time may be over. */
    public boolean isHeld() {
        return !holder.isEmpty();
    }

    boolean isHeldBy(String member, long memberToken) {
        return token == memberToken && holder.equals(member);
    }
}
