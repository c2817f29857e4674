package pewtercourse.emulator;

import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;
import pewtercourse.hash.StableHash;

/** Draws the requests of clients: a class, an object by popularity, and the size of that object. Not thread-safe. */
public final class Catalogue {
    /** A class of requests; an {@code uncacheable} one runs at the origin, must not be repeated and is never stored. */
    public record RequestClass(
            String name,
            double share,
            double meanWorkMs,
            double targetMs,
            double stretch,
            double deadlineMs,
            double worth,
            boolean uncacheable) {}

    /** The classes of requests. */
    public static final RequestClass[] CLASSES = {
        new RequestClass("menu-media", 0.54, 300, 600, 2, 5_000, 2, false),
        new RequestClass("menu-page", 0.43, 50, 400, 2, 3_000, 1, false),
        new RequestClass("place-order", 0.03, 30, 600, 0, 3_000, 3, true)
    };
    /** Rate at which a cache sends an answer to one client. */
    public static final double KB_PER_MS = 3.4;

    private static final double SIZE_SIGMA = 0.6;
    private static final double POPULARITY_EXPONENT = 0.9;

    /** A request that a client will send. */
    public record DrawnRequest(RequestClass requestClass, String object, double sizeKb) {}

    private final ZipfDistribution popularity;
    private final Well19937c random;
    private long orderCount;

    /** Creates a catalogue that draws the same requests for the same seed. */
    public Catalogue(long seed, int objectCount) {
        random = new Well19937c(seed);
        popularity = new ZipfDistribution(random, objectCount, POPULARITY_EXPONENT);
    }

    /** Draws the next request. */
    public DrawnRequest next() {
        double u = random.nextDouble();
        for (RequestClass c : CLASSES) {
            u -= c.share();
            if (u < 0) {
                String object = String.format(
                        "%016x",
                        StableHash.of(c.name()
                                + (c.uncacheable()
                                        ? "#" + orderCount++ + random.nextLong()
                                        : "/" + popularity.sample())));
                return new DrawnRequest(c, object, sizeKb(c, object));
            }
        }
        return next();
    }

    /** Draws the time until the next request, in milliseconds, at a mean rate of {@code requestsPerSecond}. */
    public double gapMs(double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) / requestsPerSecond * 1_000;
    }

    /** Returns the size of an object, which is always the same for the same class and object. */
    static double sizeKb(RequestClass requestClass, String object) {
        if (requestClass.uncacheable()) {
            return requestClass.meanWorkMs() * KB_PER_MS;
        }
        double u = ((StableHash.of("size" + object) >>> 11) + 0.5) * 0x1.0p-53;
        double workMs = new LogNormalDistribution(
                        null, Math.log(requestClass.meanWorkMs()) - SIZE_SIGMA * SIZE_SIGMA / 2, SIZE_SIGMA)
                .inverseCumulativeProbability(u);
        return Math.round(10 * Math.max(1, Math.min(2_000, workMs * KB_PER_MS))) / 10.0;
    }

    /** Returns the class of this name, or null if there is none. */
    static RequestClass named(String name) {
        for (RequestClass c : CLASSES) {
            if (c.name().equals(name)) {
                return c;
            }
        }
        return null;
    }
}
