package pewtercourse.cluster;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Operators that drain caches and reinstate them while parts fail, one call after the other for each cache. What was
 * accepted must be what a confirmed leader then says, until something else is asked for; after a rejection, or no answer,
 * either may be.
 */
final class RandomOperators implements AutoCloseable {
    /** What an operator knows of one cache. Written by its thread, read by others once that has ended. */
    private static final class KnownState {
        private Optional<Boolean> drained = Optional.empty();

        void asked() {
            drained = Optional.empty();
        }

        void answered(boolean accepted, boolean wantedDrained) {
            drained = accepted ? Optional.of(wantedDrained) : Optional.empty();
        }
    }

    private final ClusterProcesses cluster;
    private final List<Thread> operators = new ArrayList<>();
    private final Map<String, KnownState> knownByCache = new TreeMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private volatile boolean ended;
    private volatile int comparisons;

    /** One operator for each of the caches. */
    RandomOperators(ClusterProcesses cluster, long seed, String... caches) {
        this.cluster = cluster;
        for (String cache : caches) {
            knownByCache.put(cache, new KnownState());
        }
        for (String cache : caches) {
            Random random = new Random(seed * 31 + cache.hashCode());
            Thread operator = new Thread(() -> operate(random, cache), "operator " + cache);
            operator.setDaemon(true);
            operators.add(operator);
            operator.start();
        }
    }

    private void operate(Random random, String cache) {
        KnownState known = knownByCache.get(cache);
        while (!ended) {
            List<MemberProcess> running =
                    cluster.members.stream().filter(MemberProcess::isRunning).toList();
            if (running.isEmpty()) {
                continue;
            }
            MemberProcess member = running.get(random.nextInt(running.size()));
            boolean drain = random.nextBoolean();
            known.asked();
            boolean accepted = drain ? member.enterMaintenance(cache) : member.exitMaintenance(cache);
            known.answered(accepted, drain);
            compare(cache, known, member);
        }
    }

    private void compare(String cache, KnownState known, MemberProcess acceptedBy) {
        JsonObject status = known.drained.isEmpty() ? null : cluster.confirmedStatus(cluster.members);
        if (status == null) {
            return;
        }
        comparisons++;
        boolean expected = known.drained.get();
        Set<String> drained = new TreeSet<>(status.getJsonObject("out").fieldNames());
        if (drained.size() > 1) {
            violations.add("more are out than the maintenance budget allows: " + status);
        }
        if (drained.contains(cache) != expected) {
            violations.add(cache + " is " + (expected ? "in, and " : "out, and ") + acceptedBy.name
                    + " had accepted the contrary: " + status);
        }
    }

    int comparisons() {
        return comparisons;
    }

    /** Ends the calls and returns what was wrong, empty if nothing was. */
    List<String> end() throws InterruptedException {
        ended = true;
        for (Thread operator : operators) {
            operator.join(TimeUnit.SECONDS.toMillis(30));
        }
        return List.copyOf(violations);
    }

    /** What must be seen everywhere once all faults are over: by cache, whether it is drained; without those that may be either. */
    Map<String, Boolean> expectedDrains() {
        Map<String, Boolean> expected = new TreeMap<>();
        knownByCache.forEach((cache, known) -> known.drained.ifPresent(drained -> expected.put(cache, drained)));
        return expected;
    }

    @Override
    public void close() throws InterruptedException {
        List<String> found = end();
        if (!found.isEmpty()) {
            throw new AssertionError(String.join("\n", found));
        }
    }
}
