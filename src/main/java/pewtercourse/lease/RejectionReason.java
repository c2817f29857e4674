package pewtercourse.lease;

/** Why an agreed command was rejected, with the text that operators read. */
public enum RejectionReason {
    /**
     * The command does not carry the latest fencing token of the lease, or the lease has no holder or another holder
     * than the command requires.
     */
    STALE_FENCING_TOKEN("stale fencing token"),
    /**
     * The members agreed first on another command on the same cache or site, which the proposer did not know. The same
     * command can succeed if it is proposed again.
     */
    SUPERSEDED("another command on this cache or site was agreed first: try again"),
    /** The lease was renewed or assigned after the leader found it vacant. */
    LEASE_CHANGED("the lease was renewed or assigned in the meantime"),
    /** This renewal was already applied. */
    ALREADY_RENEWED("this renewal was already applied"),
    /** The member's eligibility or absence is already as reported. */
    MEMBER_STATUS_UNCHANGED("the member's status is already as reported"),
    /** The maximum number of ineligible or absent members is recorded already. */
    MEMBER_LIMIT_REACHED("too many members are ineligible or absent"),
    /** Too many caches are drained. The subject is the maximum number of drained caches. */
    DRAIN_LIMIT_REACHED("%s caches are drained, which is the maximum"),
    /** Too many maintenance requests are open. The subject is the maximum number of open requests. */
    MAINTENANCE_REQUEST_LIMIT_REACHED("%s maintenance requests are open, which is the maximum"),
    /** The maintenance request to be granted was cancelled. */
    MAINTENANCE_REQUEST_CANCELLED("the maintenance request was cancelled in the meantime"),
    /** The maintenance request to be cancelled does not exist any more. */
    MAINTENANCE_REQUEST_NOT_FOUND("the maintenance request does not exist any more"),
    /** Only the holder of the maintenance lease may cancel a request, or before the grant the requesting member. */
    CANCELLATION_NOT_PERMITTED(
            "only the holder of the maintenance lease, or the requesting member before the grant, may cancel it"),
    /** Too many members request quota. */
    QUOTA_REQUEST_LIMIT_REACHED("too many members request quota"),
    /** The quota request was granted, replaced or withdrawn, or the amount of the grant is not positive. */
    QUOTA_REQUEST_NOT_FOUND("the quota request does not exist any more"),
    /** The grant would exceed the pool, or the maximum number of grants. */
    QUOTA_LIMIT_REACHED("the grant exceeds the quota pool or the number of grants"),
    /** The quota grant was already released. */
    QUOTA_ALREADY_RELEASED("the quota grant was already released"),
    /** The site's status has changed since the entry on which this change is based. */
    SITE_STATUS_CHANGED("another change of this site's status was agreed first"),
    /** No member holds the lease. The subject is the name of the lease. */
    LEASE_NOT_HELD("no member holds the lease '%s'"),
    /** The subject is not the name of a member. */
    NOT_A_MEMBER("'%s' is not a member");

    private final String template;

    RejectionReason(String template) {
        this.template = template;
    }

    /** The text for operators about {@code subject}; reasons without a subject ignore it. */
    String text(String subject) {
        return String.format(template, subject);
    }
}
