package pewtercourse.cluster;

/**
 * The outcome of an operator's command to the leader.
 *
 * @param leader the leader that this member knows, or "" if it knows none; a command rejected with
 *     {@link Status#NOT_LEADER} has to be sent there
 */
public record LeaderCommandOutcome(Status status, String leader) {
    /** Whether the command was accepted, or the reason for its rejection. */
    public enum Status {
        /** The command was accepted and is in progress. */
        ACCEPTED,
        /** The data folder of this member can't be used at present. */
        FOLDER_CLOSED,
        /** Another member leads, or no leader is known. */
        NOT_LEADER,
        /** A membership change is in progress, or the leader has not committed an entry of its term yet. */
        CHANGE_IN_PROGRESS,
        /** A transfer of leadership is in progress. */
        TRANSFER_IN_PROGRESS,
        /** Too many log entries wait to be committed. */
        BUSY,
        /** The member is unknown, is a member already, does not respond or is not a voter. */
        NOT_POSSIBLE
    }

    /** Returns whether the command was accepted. */
    public boolean accepted() {
        return status == Status.ACCEPTED;
    }

    /** Returns the reason for the rejection, as text for operators; null if the command was accepted. */
    public String rejection() {
        return switch (status) {
            case ACCEPTED -> null;
            case FOLDER_CLOSED -> ClusterMember.FOLDER_CLOSED;
            case NOT_LEADER ->
                "this member is not the leader; the leader is " + (leader.isEmpty() ? "not known" : leader);
            case CHANGE_IN_PROGRESS -> "another change is in progress, or the leader is newly elected: try again";
            case TRANSFER_IN_PROGRESS -> "a transfer of leadership is in progress: try again";
            case BUSY -> "too many log entries wait to be committed: try again";
            case NOT_POSSIBLE ->
                "not possible: the member is unknown, is a member already, does not respond or is not a voter";
        };
    }
}
