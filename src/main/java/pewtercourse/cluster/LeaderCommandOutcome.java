package pewtercourse.cluster;

/**
 * What became of an operator's command to the leader.
 *
 * @param leader the leader that this member knows, "" if none; told where the command has to go there instead
 */
public record LeaderCommandOutcome(Status status, String leader) {
    /** Accepted, or why not. */
    public enum Status {
        /** Under way: the log replicates it. */
        ACCEPTED,
        /** The data folder of this member can't be used for now. */
        FOLDER_CLOSED,
        /** Another member leads, or nobody is known to. */
        NOT_LEADER,
        /** A membership change is under way, or the leader has not committed an entry of its own yet. */
        CHANGE_IN_PROGRESS,
        /** A transfer of leadership is under way. */
        TRANSFER_IN_PROGRESS,
        /** Too many entries wait to be committed. */
        BUSY,
        /** The member is unknown or there already, does not answer or has no vote. */
        NOT_POSSIBLE
    }

    /** Whether the command is under way. */
    public boolean accepted() {
        return status == Status.ACCEPTED;
    }

    /** For people: why it was not accepted. Null if it was. */
    public String rejection() {
        return switch (status) {
            case ACCEPTED -> null;
            case FOLDER_CLOSED -> ClusterMember.FOLDER_CLOSED;
            case NOT_LEADER -> "not the leader, which is " + (leader.isEmpty() ? "not known" : leader);
            case CHANGE_IN_PROGRESS -> "another change is under way, or the leader is new: try again";
            case TRANSFER_IN_PROGRESS -> "leadership is being handed on: try again";
            case BUSY -> "too much is under way: try again";
            case NOT_POSSIBLE ->
                "that is not possible: the member is unknown or there already, does not answer or has no vote";
        };
    }
}
