package pewtercourse.lease;

/**
 * An operator's request to drain a cache within the maintenance budget.
 *
 * @param number      log entry of the request; requests are granted in the order of their numbers
 * @param requestedBy member at which the operator made the request
 * @param granted     whether the holder of the maintenance lease has granted the request, which drains the cache
 */
public record MaintenanceRequest(long number, String target, String zone, String requestedBy, boolean granted) {
    MaintenanceRequest asGranted() {
        return new MaintenanceRequest(number, target, zone, requestedBy, true);
    }
}
