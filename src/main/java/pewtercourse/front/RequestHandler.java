package pewtercourse.front;

/** Processes the requests of a front, and answers each at most once. */
public interface RequestHandler {
    /**
     * Processes a request. Returns the action that the front runs when the client stops waiting; from then on the request
     * must not be answered.
     */
    Runnable handle(ClientRequest request, ClientExchange client);

    /** Whether health checks report that the director is ready for clients. */
    default boolean ready() {
        return true;
    }
}
