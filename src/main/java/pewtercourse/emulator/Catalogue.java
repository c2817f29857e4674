package pewtercourse.emulator;

import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;
import pewtercourse.hash.StableHash;

/** What clients ask for: objects by popularity, with sizes that belong to them. */
final class Catalogue {
    /** {@code through}: runs at the origin, may not be repeated and is kept nowhere. */
    record RequestClass(
            String name,
            double share,
            double meanWorkMs,
            double aimMs,
            double stretch,
            double deadlineMs,
            double worth,
            boolean through) {}

    static final RequestClass[] CLASSES = {
        new RequestClass("menu-media", 0.54, 300, 600, 2, 5_000, 2, false),
        new RequestClass("menu-page", 0.43, 50, 400, 2, 3_000, 1, false),
        new RequestClass("place-order", 0.03, 30, 600, 0, 3_000, 3, true)
    };
    static final double KB_PER_MS = 3.4;
    private static final double SIGMA = 0.6, EXPONENT = 0.9;

    record Pick(RequestClass cls, String object, double sizeKb) {}

    private final ZipfDistribution popularity;
    private final Well19937c random;
    private long orders;

    Catalogue(long seed, int objects) {
        random = new Well19937c(seed);
        popularity = new ZipfDistribution(random, objects, EXPONENT);
    }

    Pick next() {
        double u = random.nextDouble();
        for (RequestClass c : CLASSES) {
            u -= c.share();
            if (u < 0) {
                String object = String.format(
                        "%016x",
                        StableHash.of(c.name()
                                + (c.through() ? "#" + orders++ + random.nextLong() : "/" + popularity.sample())));
                return new Pick(c, object, sizeKb(c, object));
            }
        }
        return next();
    }

    /** Until the next request, in ms, of so many a second. */
    double gapMs(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
    }

    /** Of one object, always the same. */
    static double sizeKb(RequestClass c, String object) {
        if (c.through()) {
            return c.meanWorkMs() * KB_PER_MS;
        }
        double u = ((StableHash.of("size" + object) >>> 11) + 0.5) * 0x1.0p-53;
        double ms = new LogNormalDistribution(null, Math.log(c.meanWorkMs()) - SIGMA * SIGMA / 2, SIGMA)
                .inverseCumulativeProbability(u);
        return Math.round(10 * Math.max(1, Math.min(2_000, ms * KB_PER_MS))) / 10.0;
    }

    static RequestClass named(String name) {
        for (RequestClass c : CLASSES) {
            if (c.name().equals(name)) {
                return c;
            }
        }
        return null;
    }
}
