package pewtercourse.lease;

/**
 * Quota that a member may use for a bounded time.
 *
 * @param requestEntry entry of the request that it answers
 * @param thousandths  of one director's share
 */
public record QuotaGrant(String grantee, long requestEntry, long thousandths) {}
