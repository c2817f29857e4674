package pewtercourse.failover;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The input from which a failover plan is computed.
 *
 * @param loads      by site: the concurrent transfers that its clients request
 * @param lost       sites whose load, or a part of it, other sites serve now
 * @param ineligible sites that must not take load of other sites: impaired, lost or returning ones
 * @param current    the plan in force; {@link FailoverPlan#EMPTY} for none
 */
public record FailoverPlanRequest(
        SortedMap<String, Double> loads, Set<String> lost, Set<String> ineligible, FailoverPlan current) {
    /** Creates a request for the first plan, while all sites are whole. */
    public static FailoverPlanRequest first(Map<String, Double> loads) {
        return new FailoverPlanRequest(new TreeMap<>(loads), Set.of(), Set.of(), FailoverPlan.EMPTY);
    }
}
