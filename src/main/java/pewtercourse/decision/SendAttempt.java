package pewtercourse.decision;

/**
 * Sends one attempt to an endpoint.
 *
 * @param timeout microseconds; 0: until the client stops waiting
 * @param fillSourceId endpoint from which a miss is filled; the attempt's own endpoint for no fill
 * @param retentionRank value of a copy to the cache, from 1 to 3; 0: the answer is not to be stored
 * @param maxAge maximum age of a copy in microseconds; 0: as long as copies of the class are fresh
 * @param coalesce whether the fill of another request may answer this one
 * @param onlyIfCached whether the source of the fill may only answer from its own copies
 * @param refreshInBackground whether a stale copy may be served while it is refreshed
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
