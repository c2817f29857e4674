package pewtercourse.failover;

import java.util.List;
import java.util.Set;

/**
 * One site as its operators describe it. Work is in transfers at once: how many answers are under way on average.
 *
 * @param hub           the parents that its fills come from; "" if that is not told
 * @param directors     members of the cluster that stand there
 * @param capacity      what its caches serve when they are warm, over 0
 * @param spareShare    share, 0 to 1, of what it has to spare that clients of other sites may use
 * @param reservedShare share, 0 to 1, of {@code capacity} that stays for its own clients whatever happens
 * @param link          fills at once that its link carries; 0 for no bound
 * @param takers        who may serve its clients when it is lost; empty where nothing may cross
 */
public record Site(
        String name,
        String hub,
        Set<String> directors,
        double capacity,
        double spareShare,
        double reservedShare,
        double link,
        List<Taker> takers) {
    /** {@code distance}: what a crossing costs, beside others; over 0. */
    public record Taker(String site, double distance) {}

    /** What it can lend while its own clients ask for so much. */
    public double spare(double load) {
        return Math.max(0, Math.min(spareShare * (capacity - load), (1 - reservedShare) * capacity));
    }
}
