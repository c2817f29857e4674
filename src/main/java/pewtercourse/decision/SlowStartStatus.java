package pewtercourse.decision;

/**
 * The budget of one endpoint in slow start, as this router sees it now.
 *
 * @param capacityShare share of its capacity that the endpoint is assumed to have
 * @param ageMicros time since the start of the endpoint that is used for this share
 * @param budgetMicros work that this router may send to it in an overload window
 * @param usedMicros the part of that budget that is in use
 * @param refusals how often since the start the budget had no room for a request
 */
public record SlowStartStatus(
        long endpointId, double capacityShare, long ageMicros, long budgetMicros, long usedMicros, long refusals) {}
