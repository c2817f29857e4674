package pewtercourse.hash;

/**
 * Computes a 64-bit hash of a name that is the same at all members and in all versions: FNV-1a (Fowler, Noll and Vo)
 * over the UTF-16 code units, mixed by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). Not cryptographic.
 */
public final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;
    private static final long MIX_SECOND = 0x94d049bb133111ebL;
    // A double has a precision of 53 bits, so 11 of the 64 bits are dropped.
    private static final int FRACTION_SHIFT = 11;
    private static final double FRACTION_UNIT = 0x1.0p-53;

    private StableHash() {}

    /** Returns the hash of a name. */
    public static long of(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Mixes a value by a bijection in which every output bit depends on every input bit. */
    public static long mix(long value) {
        long mixed = (value ^ value >>> 30) * MIX_FIRST;
        mixed = (mixed ^ mixed >>> 27) * MIX_SECOND;
        return mixed ^ mixed >>> 31;
    }

    /** Mixes a hash and maps it to a number greater than 0 and less than 1. */
    public static double toUnitInterval(long hash) {
        return ((mix(hash) >>> FRACTION_SHIFT) + 0.5) * FRACTION_UNIT;
    }
}
