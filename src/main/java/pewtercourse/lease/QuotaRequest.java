package pewtercourse.lease;

/**
 * A member's request for quota beyond what it has.
 *
 * @param entry       log entry of the request
 * @param thousandths amount, in thousandths of one director's share
 */
public record QuotaRequest(long entry, long thousandths) {}
