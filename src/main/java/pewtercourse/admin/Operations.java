package pewtercourse.admin;

/** What operators may ask of a director, whatever protocol the call came by. All run on the event loop. */
public interface Operations {
    /** Whether this process can serve. */
    boolean canServe();

    /** The figures: a line for each, NAME=VALUE. */
    String metrics();

    /** Takes a cache out until {@link #exitMaintenance}; false if there is none of this name. */
    boolean enterMaintenance(String target);

    /** It may serve again, however often it was taken out; false if there is none of this name. */
    boolean exitMaintenance(String target);

    /** Clients are sent away until {@link #active}. Twice is as good as once. */
    void standby();

    void active();
}
