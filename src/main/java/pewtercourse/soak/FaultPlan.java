package pewtercourse.soak;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of one run, drawn from a seed. A plan can be written as JSON, cut down and played again.
 *
 * @param requestsPerSecond load of all directors together
 */
public record FaultPlan(
        long seed, int directors, int caches, int seconds, double requestsPerSecond, List<Fault> faults) {
    private static final int MILLIS_PER_SECOND = 1_000;
    /** No fault begins so close to the end of the load. */
    private static final int QUIET_END_MS = 4_000;

    private static final double FAULTS_PER_SECOND = 0.6;
    /** Faults that come together, as a share of all. */
    private static final double SHARE_IN_SERIES = 0.3;

    private static final int[] CLOCK_STEPS_SECONDS = {5, -5, 3_600, -3_600};
    private static final int MIN_DIRECTORS = 2;
    private static final int MAX_DIRECTORS = 5;
    private static final int MIN_CACHES = 3;
    private static final int MAX_CACHES = 6;

    /** Draws the plan of a seed. */
    public static FaultPlan draw(long seed, int seconds) {
        Random random = new Random(seed * 7_919 + 17);
        int directors = MIN_DIRECTORS + random.nextInt(MAX_DIRECTORS - MIN_DIRECTORS + 1);
        int caches = MIN_CACHES + random.nextInt(MAX_CACHES - MIN_CACHES + 1);
        double requestsPerSecond = caches * (12 + random.nextInt(20));
        List<Fault> faults = new ArrayList<>();
        int count = (int) (seconds * FAULTS_PER_SECOND);
        long latestMs = (long) seconds * MILLIS_PER_SECOND - QUIET_END_MS;
        long atMs = 0;
        for (int i = 0; i < count; i++) {
            boolean inSeries = i > 0 && random.nextDouble() < SHARE_IN_SERIES;
            atMs = inSeries ? Math.min(latestMs, atMs + random.nextInt(400)) : random.nextLong(latestMs);
            faults.add(draw(random, atMs, directors, caches));
        }
        faults.sort(Comparator.comparingLong(Fault::atMs));
        return new FaultPlan(seed, directors, caches, seconds, requestsPerSecond, List.copyOf(faults));
    }

    private static Fault draw(Random random, long atMs, int directors, int caches) {
        Fault.Kind[] kinds = Fault.Kind.values();
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        int director = random.nextInt(directors);
        int cache = random.nextInt(caches);
        return switch (kind) {
            case CACHE_RESTART, ALL_CACHES_RESTART ->
                fault(atMs, kind, director, cache, 300 + random.nextInt(2_500), 0);
            case CACHE_DRAIN -> fault(atMs, kind, director, cache, 1_000 + random.nextInt(4_000), 0);
            case LIST_FLAP -> fault(atMs, kind, director, cache, 50 + random.nextInt(600), 0);
            case PURGE -> fault(atMs, kind, director, cache, 0, 1 + random.nextInt(8));
            case LINK_HELD, CACHE_SILENT, DIRECTOR_CUT_OFF, FEED_HELD ->
                fault(atMs, kind, director, cache, 200 + random.nextInt(4_000), 0);
            case LINK_SLOW -> fault(atMs, kind, director, cache, 500 + random.nextInt(4_000), 20 + random.nextInt(400));
            case CLIENTS_LEAVE -> fault(atMs, kind, director, cache, 500 + random.nextInt(2_000), 0);
            case CROWD -> fault(atMs, kind, director, cache, 1_000 + random.nextInt(3_000), 50 + random.nextInt(150));
            case PAUSE -> fault(atMs, kind, director, cache, 50 + random.nextInt(700), 0);
            case STARVED -> fault(atMs, kind, director, cache, 500 + random.nextInt(2_000), 20 + random.nextInt(40));
            case CLOCK_STEP ->
                fault(atMs, kind, director, cache, 0, CLOCK_STEPS_SECONDS[random.nextInt(CLOCK_STEPS_SECONDS.length)]);
            case ACCEPT_FAILS, CONNECT_FAILS -> fault(atMs, kind, director, cache, 0, 1 + random.nextInt(20));
            case WAITS_INTERRUPTED, SHORT_TRANSFERS -> fault(atMs, kind, director, cache, 0, 50 + random.nextInt(500));
            default -> fault(atMs, kind, director, cache, 0, 0);
        };
    }

    private static Fault fault(long atMs, Fault.Kind kind, int director, int cache, long lengthMs, int amount) {
        return new Fault(atMs, kind, director, cache, lengthMs, amount);
    }

    /** Returns the plan as JSON. */
    public JsonObject toJson() {
        JsonArray list = new JsonArray();
        faults.forEach(fault -> list.add(fault.toJson()));
        return new JsonObject()
                .put("seed", seed)
                .put("directors", directors)
                .put("caches", caches)
                .put("seconds", seconds)
                .put("requests_per_second", requestsPerSecond)
                .put("faults", list);
    }

    /** Reads a plan from JSON. */
    public static FaultPlan fromJson(JsonObject json) {
        List<Fault> faults = new ArrayList<>();
        JsonArray list = json.getJsonArray("faults");
        for (int i = 0; i < list.size(); i++) {
            faults.add(Fault.fromJson(list.getJsonObject(i)));
        }
        return new FaultPlan(
                json.getLong("seed"),
                json.getInteger("directors"),
                json.getInteger("caches"),
                json.getInteger("seconds"),
                json.getDouble("requests_per_second"),
                List.copyOf(faults));
    }
}
