package pewtercourse.lease;

/**
 * An operator's request to drain a cache within the maintenance budget.
 *
 * @param number      entry of the request, by which requests are granted in order
 * @param requestedBy member at which the operator made it
 * @param granted     whether the holder of the maintenance lease has allowed it: the cache is drained
 */
public record MaintenanceRequest(long number, String target, String zone, String requestedBy, boolean granted) {
    MaintenanceRequest grant() {
        return new MaintenanceRequest(number, target, zone, requestedBy, true);
    }
}
