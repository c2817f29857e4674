package pewtercourse.emulator;

import pewtercourse.hash.StableHash;

/**
 * Models the upstream of the caches of some sites without sockets: the link that they fill through, parents that store a
 * share of all objects, and an origin that slows down under load. Times are in microseconds. Not thread-safe.
 */
public final class UpstreamModel {
    /**
     * @param linkCapacity fills that the link carries at the same time at full speed
     * @param parentHitShare share of the objects that the parents store
     * @param parentMicros time of a single fill from a parent
     * @param originMicros additional time of a single fill that needs the origin
     * @param originCapacity requests that the origin answers at the same time at full speed; beyond it the time grows with
     *     the square of the load
     */
    public record Settings(double linkCapacity, double parentHitShare, long parentMicros, long originMicros, double originCapacity) {}

    /** A fill in progress: how long it takes and whether it needs the origin. */
    public record Fill(long durationMicros, boolean fromOrigin) {}

    private final Settings settings;
    private int fillsInFlight;
    private int originRequestsInFlight;

    public UpstreamModel(Settings settings) {
        this.settings = settings;
    }

    /**
     * Starts a fill, which the caller ends with {@link #end}.
     *
     * @param uncacheable whether the request always runs at the origin, also if a parent stores the object
     */
    public Fill begin(long object, boolean uncacheable) {
        fillsInFlight++;
        boolean needsOrigin = uncacheable || (StableHash.of("held" + object) >>> 11) * 0x1.0p-53 >= settings.parentHitShare();
        originRequestsInFlight += needsOrigin ? 1 : 0;
        double originLoad = Math.max(1, originRequestsInFlight / settings.originCapacity());
        return new Fill(
                (long) (settings.parentMicros() * Math.max(1, fillsInFlight / settings.linkCapacity()) + (needsOrigin ? settings.originMicros() * originLoad * originLoad : 0)),
                needsOrigin);
    }

    /** Ends a fill. */
    public void end(Fill fill) {
        fillsInFlight--;
        originRequestsInFlight -= fill.fromOrigin() ? 1 : 0;
    }

    /** Returns the number of requests in flight at the origin. */
    public int originRequestsInFlight() {
        return originRequestsInFlight;
    }
}
