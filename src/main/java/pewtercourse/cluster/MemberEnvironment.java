package pewtercourse.cluster;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.Random;
import pewtercourse.Timers;
import pewtercourse.config.ClusterConfig;

/**
 * The configuration, event loop, timers, clock and random generator that the parts of one member share.
 *
 * @param random draws election timeouts, delays between dials and reopening delays; event loop only
 */
record MemberEnvironment(
        Vertx vertx, Context loop, Timers timers, ClusterConfig config, MemberClock clock, Random random) {
    static MemberEnvironment of(Vertx vertx, ClusterConfig config) {
        return new MemberEnvironment(
                vertx,
                vertx.getOrCreateContext(),
                Timers.of(vertx),
                config,
                new MemberClock(),
                new Random(new SecureRandom().nextLong()));
    }
}
