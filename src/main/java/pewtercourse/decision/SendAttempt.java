package pewtercourse.decision;

/**
 * An attempt at an endpoint.
 *
 * @param timeout microseconds; 0: until the client gives up
 * @param fillSourceId from which a miss is filled; the endpoint itself for no fill
 * @param retentionRank 0: the answer is not to be stored; 1 to 3: how much its copy is worth
 * @param maxAge of a copy in microseconds; 0: as long as the class's copies are fresh
 * @param coalesce whether the fill of another request may answer it
 * @param onlyIfCached whether the source of the fill may answer only what it holds
 * @param refreshInBackground whether a stale copy may be served while it is renewed
 */
public record SendAttempt(
        long requestId,
        long endpointId,
        long timeout,
        long fillSourceId,
        int retentionRank,
        long maxAge,
        boolean coalesce,
        boolean onlyIfCached,
        boolean refreshInBackground)
        implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
