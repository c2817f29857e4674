package pewtercourse.emulator;

import pewtercourse.hash.StableHash;

/**
 * What is behind the caches of some sites, without sockets: the link that they fill through, parents that hold a part of all
 * objects, and an origin that slows down as it gets crowded. Times in microseconds.
 */
public final class UpstreamModel {
    /**
     * @param link     fills at once that go at full pace
     * @param holds    share of the objects that the parents hold
     * @param parent   a fill from there, alone
     * @param origin   what it takes longer where the origin is asked, alone
     * @param bears    requests at once that the origin answers at full pace; over that it slows by the square
     */
    public record Settings(double link, double holds, long parent, long origin, double bears) {}

    /** A fill: how long it takes, and whether the origin was asked. */
    public record Fill(long durationMicros, boolean fromOrigin) {}

    private final Settings set;
    private int fills, asked;

    public UpstreamModel(Settings set) {
        this.set = set;
    }

    /** A fill begins; {@code through}: it runs at the origin whatever the parents hold. Ends with {@link #end}. */
    public Fill begin(long object, boolean through) {
        fills++;
        boolean origin = through || (StableHash.of("held" + object) >>> 11) * 0x1.0p-53 >= set.holds();
        asked += origin ? 1 : 0;
        double crowd = Math.max(1, asked / set.bears());
        return new Fill(
                (long) (set.parent() * Math.max(1, fills / set.link()) + (origin ? set.origin() * crowd * crowd : 0)),
                origin);
    }

    public void end(Fill f) {
        fills--;
        asked -= f.fromOrigin() ? 1 : 0;
    }

    /** Requests that the origin has in hand. */
    public int asked() {
        return asked;
    }
}
