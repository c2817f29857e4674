package pewtercourse.admin;

/** What operators may ask of a director, whatever protocol the call came by. All run on the event loop. */
public interface Operations {
    /** Whether this process can serve. */
    boolean canServe();

    /** Clients are sent away until {@link #active}. Twice is as good as once. */
    void standby();

    void active();
}
