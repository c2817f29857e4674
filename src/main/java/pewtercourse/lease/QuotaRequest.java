package pewtercourse.lease;

/**
 * Quota that a member could use beyond its own.
 *
 * @param entry       entry of the request
 * @param thousandths of one director's share
 */
public record QuotaRequest(long entry, long thousandths) {}
