package pewtercourse.lease;

/** Why an agreed command had no effect, with the text that operators read. */
public enum RejectionReason {
    /** The order carries the fencing token of an earlier holder. */
    STALE_FENCING_TOKEN("an older token"),
    /** An operator's command that the proposer did not know was agreed first: proposed anew, it can succeed. */
    SUPERSEDED("another word on this was agreed first: call again"),
    /** The lease that was to be assigned has been renewed or assigned since. */
    LEASE_CHANGED("renewed or assigned meanwhile"),
    /** This renewal has been applied before. */
    ALREADY_RENEWED("renewed before"),
    /** The member's eligibility or absence already is as reported. */
    MEMBER_STATUS_UNCHANGED("known"),
    /** Too many members are ineligible or absent to record one more. */
    MEMBER_LIMIT_REACHED("known"),
    /** The subject is the number of caches that may be drained at once. */
    DRAIN_LIMIT_REACHED("%s are out"),
    /** The subject is the number of maintenance requests that may be open at once. */
    MAINTENANCE_REQUEST_LIMIT_REACHED("%s calls wait or are out"),
    /** The maintenance request that was to be granted has been cancelled. */
    MAINTENANCE_REQUEST_CANCELLED("withdrawn meanwhile"),
    /** The maintenance request that was to be cancelled is not there. */
    MAINTENANCE_REQUEST_NOT_FOUND("withdrawn before"),
    /** Only the holder of the maintenance lease, or the requester before the grant, may cancel a request. */
    CANCELLATION_NOT_PERMITTED("an older token, or another's ticket"),
    /** Too many members request quota. */
    QUOTA_REQUEST_LIMIT_REACHED("too many wishes"),
    /** The quota request has been granted, replaced or withdrawn. */
    QUOTA_REQUEST_NOT_FOUND("not wished for any more"),
    /** The grant would exceed the pool, or the number of grants at once. */
    QUOTA_LIMIT_REACHED("over what may be lent"),
    /** The quota grant has been released before. */
    QUOTA_ALREADY_RELEASED("settled before"),
    /** The site's status has changed since the entry that this change builds on. */
    SITE_STATUS_CHANGED("another change of this site came first"),
    /** The subject is a lease that no member holds. */
    LEASE_NOT_HELD("nobody holds '%s'"),
    /** The subject is not the name of a member. */
    NOT_A_MEMBER("'%s' is no member");

    private final String template;

    RejectionReason(String template) {
        this.template = template;
    }

    /** The text for operators about {@code subject}, which reasons without one ignore. */
    String text(String subject) {
        return String.format(template, subject);
    }
}
