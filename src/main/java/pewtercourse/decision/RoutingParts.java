package pewtercourse.decision;

/** The parts of a router. Each part owns its state. */
record RoutingParts(
        EndpointTable endpoints,
        TransferTimes transferTimes,
        AccessCounts counts,
        CountGossip gossip,
        PurgeLog purges,
        ContentHints hints,
        FillTracker fills,
        AttemptTimeouts timeouts,
        CapacityEstimate capacity,
        SlowStartBudget slowStart,
        OutlierDetector outliers,
        IdempotencyRules idempotency,
        CacheSelector cacheSelector,
        FillSourceSelector sourceSelector,
        AttemptSender sender,
        AttemptFeedback feedback) {
    static RoutingParts create(RoutingContext context, ActionBuffer actions, IdempotencyKeyTable keys) {
        EndpointTable endpoints = new EndpointTable(context);
        TransferTimes transferTimes = new TransferTimes();
        AccessCounts counts = new AccessCounts(context);
        PurgeLog purges = new PurgeLog(context);
        ContentHints hints = new ContentHints(context, purges);
        FillTracker fills = new FillTracker(context.routersInZone());
        AttemptTimeouts timeouts = new AttemptTimeouts(fills);
        SlowStartRamp ramp = new SlowStartRamp(context);
        CapacityEstimate capacity = new CapacityEstimate(context, endpoints, ramp);
        SlowStartBudget slowStart = new SlowStartBudget(context, ramp, capacity, transferTimes);
        OutlierDetector outliers = new OutlierDetector(context, endpoints);
        IdempotencyRules idempotency = new IdempotencyRules(context, keys);
        return new RoutingParts(
                endpoints,
                transferTimes,
                counts,
                new CountGossip(context, counts),
                purges,
                hints,
                fills,
                timeouts,
                capacity,
                slowStart,
                outliers,
                idempotency,
                new CacheSelector(context, endpoints, counts, slowStart, outliers, idempotency, transferTimes),
                new FillSourceSelector(context, endpoints, hints, slowStart, outliers),
                new AttemptSender(context, actions, fills, timeouts, slowStart, counts, hints, purges, idempotency),
                new AttemptFeedback(context, outliers, fills, hints));
    }
}
