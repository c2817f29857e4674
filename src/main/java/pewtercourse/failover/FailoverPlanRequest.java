package pewtercourse.failover;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a failover plan is computed from.
 *
 * @param loads      by site: concurrent transfers that its clients ask for
 * @param lost       sites whose load is served elsewhere now
 * @param ineligible sites that can't take any load of others: impaired, lost or returning
 * @param current    the plan in force; {@link FailoverPlan#EMPTY} for none
 */
public record FailoverPlanRequest(
        SortedMap<String, Double> loads, Set<String> lost, Set<String> ineligible, FailoverPlan current) {
    /** A request for the first plan, while all sites are whole. */
    public static FailoverPlanRequest first(Map<String, Double> loads) {
        return new FailoverPlanRequest(new TreeMap<>(loads), Set.of(), Set.of(), FailoverPlan.EMPTY);
    }
}
