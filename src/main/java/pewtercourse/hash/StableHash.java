package pewtercourse.hash;

/**
 * A 64-bit hash of a name, equal at all members and in all versions: FNV-1a (Fowler, Noll and Vo) over the UTF-16
 * units, mixed by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). Not for secrets.
 */
public final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;
    private static final long MIX_SECOND = 0x94d049bb133111ebL;
    // A double holds 53 bits of a fraction.
    private static final int FRACTION_SHIFT = 11;
    private static final double FRACTION_UNIT = 0x1.0p-53;

    private StableHash() {}

    /** The hash of a name. */
    public static long of(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** A bijection whose every output bit depends on every input bit. */
    public static long mix(long value) {
        long mixed = (value ^ value >>> 30) * MIX_FIRST;
        mixed = (mixed ^ mixed >>> 27) * MIX_SECOND;
        return mixed ^ mixed >>> 31;
    }

    /** Maps a mixed hash to a number over 0 and under 1. */
    public static double toUnitInterval(long hash) {
        return ((mix(hash) >>> FRACTION_SHIFT) + 0.5) * FRACTION_UNIT;
    }
}
