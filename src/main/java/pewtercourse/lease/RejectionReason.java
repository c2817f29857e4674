package pewtercourse.lease;

/** Why an agreed command was rejected, with the text that operators read. */
public enum RejectionReason {
    /**
     * The command does not carry the latest fencing token of the lease, or the lease has no holder or another holder than
     * the command requires.
     */
    STALE_FENCING_TOKEN("an older token"),
    /**
     * The members agreed first on another command on the same cache or site, which the proposer did not know. The same
     * command can succeed if it is proposed again.
     */
    SUPERSEDED("another word on this was agreed first: call again"),
    /** The lease was renewed or assigned after the leader found it vacant. */
    LEASE_CHANGED("renewed or assigned meanwhile"),
    /** This renewal was already applied. */
    ALREADY_RENEWED("renewed before"),
    /** The member's eligibility or absence is already as reported. */
    MEMBER_STATUS_UNCHANGED("known"),
    /** The maximum number of ineligible or absent members is recorded already. */
    MEMBER_LIMIT_REACHED("known"),
    /** Too many caches are drained. The subject is the maximum number of drained caches. */
    DRAIN_LIMIT_REACHED("%s are out"),
    /** Too many maintenance requests are open. The subject is the maximum number of open requests. */
    MAINTENANCE_REQUEST_LIMIT_REACHED("%s calls wait or are out"),
    /** The maintenance request to be granted was cancelled. */
    MAINTENANCE_REQUEST_CANCELLED("withdrawn meanwhile"),
    /** The maintenance request to be cancelled does not exist any more. */
    MAINTENANCE_REQUEST_NOT_FOUND("withdrawn before"),
    /** Only the holder of the maintenance lease may cancel a request, or before the grant the requesting member. */
    CANCELLATION_NOT_PERMITTED("an older token, or another's ticket"),
    /** Too many members request quota. */
    QUOTA_REQUEST_LIMIT_REACHED("too many wishes"),
    /** The quota request was granted, replaced or withdrawn, or the amount of the grant is not positive. */
    QUOTA_REQUEST_NOT_FOUND("not wished for any more"),
    /** The grant would exceed the pool, or the maximum number of grants. */
    QUOTA_LIMIT_REACHED("over what may be lent"),
    /** The quota grant was already released. */
    QUOTA_ALREADY_RELEASED("settled before"),
    /** The site's status has changed since the entry on which this change is based. */
    SITE_STATUS_CHANGED("another change of this site came first"),
    /** No member holds the lease. The subject is the name of the lease. */
    LEASE_NOT_HELD("nobody holds '%s'"),
    /** The subject is not the name of a member. */
    NOT_A_MEMBER("'%s' is no member");

    private final String template;

    RejectionReason(String template) {
        this.template = template;
    }

    /** The text for operators about {@code subject}; reasons without a subject ignore it. */
    String text(String subject) {
        return String.format(template, subject);
    }
}
