package pewtercourse.decision;

/**
 * Hash functions by which routers make the same choices without communicating. All routers, also those of other
 * versions, must compute the same values, so these functions must never change.
 */
public final class Hashing {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /** FNV-1a over the UTF-16 code units of a text, finished by {@link #mix}. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * The finaliser of SplitMix64 (Steele, Lea, Flood 2014): each bit of the input affects half of the bits of
     * the output.
     */
    public static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
