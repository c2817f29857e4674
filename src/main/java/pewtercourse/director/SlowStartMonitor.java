package pewtercourse.director;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import pewtercourse.Log;
import pewtercourse.decision.SlowStartStatus;
import pewtercourse.discovery.WatchedEndpoint;

/** Logs when endpoints enter slow start, use up their budget there, and leave slow start. Confined to the event loop. */
final class SlowStartMonitor {
    /** Time between two looks at the router, in milliseconds. */
    static final long INTERVAL_MS = 500;

    private static final long MICROS_PER_MILLI = 1_000;

    /** What was last seen of an endpoint in slow start. */
    private record Observation(String name, long refusals, boolean exhausted) {}

    private final LongFunction<WatchedEndpoint> listedEndpoints;
    private final Map<Long, Observation> observations = new HashMap<>();

    /** Creates a monitor that takes the names and listed start times of endpoints from {@code listedEndpoints}. */
    SlowStartMonitor(LongFunction<WatchedEndpoint> listedEndpoints) {
        this.listedEndpoints = listedEndpoints;
    }

    /** Compares the endpoints that are in slow start now with those seen before and logs the differences. */
    void observe(List<SlowStartStatus> statuses) {
        Map<Long, Observation> ended = new HashMap<>(observations);
        for (SlowStartStatus status : statuses) {
            ended.remove(status.endpointId());
            Observation previous = observations.get(status.endpointId());
            observations.put(status.endpointId(), observe(status, previous));
        }
        for (Long endpointId : new HashSet<>(ended.keySet())) {
            Observation last = observations.remove(endpointId);
            Log.info("slow_start.ended", "endpoint", last.name(), "refusals", last.refusals());
        }
    }

    private Observation observe(SlowStartStatus status, Observation previous) {
        WatchedEndpoint endpoint = listedEndpoints.apply(status.endpointId());
        String name = endpoint == null ? Long.toHexString(status.endpointId()) : endpoint.name();
        if (previous == null || status.refusals() < previous.refusals()) {
            log("slow_start.began", name, endpoint == null ? 0 : endpoint.startedMs(), status);
            return new Observation(name, status.refusals(), false);
        }
        boolean exhausted = status.refusals() > previous.refusals();
        if (exhausted && !previous.exhausted()) {
            log("slow_start.exhausted", name, endpoint == null ? 0 : endpoint.startedMs(), status);
        }
        return new Observation(name, status.refusals(), exhausted);
    }

    private static void log(String event, String name, long startedMs, SlowStartStatus status) {
        Log.info(
                event,
                "endpoint",
                name,
                "started_ms",
                startedMs,
                "age_ms",
                status.ageMicros() / MICROS_PER_MILLI,
                "budget_ms",
                status.budgetMicros() / MICROS_PER_MILLI,
                "used_ms",
                status.usedMicros() / MICROS_PER_MILLI,
                "refusals",
                status.refusals());
    }
}
