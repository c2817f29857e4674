package pewtercourse.failover;

/**
 * What one member saw of one site of late.
 *
 * @param usual   caches of it that its list has had
 * @param ready   those that it has now
 * @param parents parents of the site's hub that the list has had, {@code up} those that it has now
 * @param good    attempts at its caches that were answered in time
 * @param late    those answered, and slowly
 * @param bad     those that failed, or were never answered
 * @param refused requests of its own clients that its module turned away for lack of room
 * @param load    transfers at once that its own clients ask for; 0 where the member is not of this site
 */
public record SiteObservation(
        int usual, int ready, int parents, int up, int good, int late, int bad, int refused, double load) {
    /** Attempts that tell something. */
    public int ends() {
        return good + late + bad;
    }
}
