package pewtercourse.lease;

/**
 * Quota that a member may use for a limited time.
 *
 * @param requestEntry entry of the request that this grant answers
 * @param thousandths  amount, in thousandths of one director's share
 */
public record QuotaGrant(String grantee, long requestEntry, long thousandths) {}
