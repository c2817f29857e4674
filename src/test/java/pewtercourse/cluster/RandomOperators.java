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
 * Simulates operators that drain and reinstate caches during faults, with one call at a time for each cache. After an
 * accepted call a confirmed leader must report the requested state until the next call; after a rejected call, or one
 * without a response, either state is possible.
 */
final class RandomOperators implements AutoCloseable {
    /**
     * The state that an operator expects of a cache. Written by its thread, read by others after the thread has ended.
     */
    private static final class ExpectedState {
        private Optional<Boolean> drained = Optional.empty();

        void onCallSent() {
            drained = Optional.empty();
        }

        void onCallCompleted(boolean accepted, boolean requestedDrain) {
            drained = accepted ? Optional.of(requestedDrain) : Optional.empty();
        }
    }

    private final ClusterProcesses cluster;
    private final List<Thread> operators = new ArrayList<>();
    private final Map<String, ExpectedState> expectedByCache = new TreeMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private volatile boolean ended;
    private volatile int comparisons;

    /** Starts one operator for each cache. */
    RandomOperators(ClusterProcesses cluster, long seed, String... caches) {
        this.cluster = cluster;
        for (String cache : caches) {
            expectedByCache.put(cache, new ExpectedState());
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
        ExpectedState expected = expectedByCache.get(cache);
        while (!ended) {
            List<MemberProcess> running =
                    cluster.members.stream().filter(MemberProcess::isRunning).toList();
            if (running.isEmpty()) {
                continue;
            }
            MemberProcess member = running.get(random.nextInt(running.size()));
            boolean drain = random.nextBoolean();
            expected.onCallSent();
            boolean accepted = drain ? member.enterMaintenance(cache) : member.exitMaintenance(cache);
            expected.onCallCompleted(accepted, drain);
            compare(cache, expected, member);
        }
    }

    private void compare(String cache, ExpectedState expected, MemberProcess acceptedBy) {
        JsonObject status = expected.drained.isEmpty() ? null : cluster.confirmedStatus(cluster.members);
        if (status == null) {
            return;
        }
        comparisons++;
        boolean expectedDrained = expected.drained.get();
        Set<String> drained = new TreeSet<>(status.getJsonObject("out").fieldNames());
        if (drained.size() > 1) {
            violations.add("more caches are drained than the maintenance budget allows: " + status);
        }
        if (drained.contains(cache) != expectedDrained) {
            violations.add(cache + " is " + (expectedDrained ? "in rotation, but " : "drained, but ") + acceptedBy.name
                    + " accepted the opposite: " + status);
        }
    }

    int comparisons() {
        return comparisons;
    }

    /** Stops the operators and returns the violations that they found. */
    List<String> end() throws InterruptedException {
        ended = true;
        for (Thread operator : operators) {
            operator.join(TimeUnit.SECONDS.toMillis(30));
        }
        return List.copyOf(violations);
    }

    /** Returns whether each cache must be drained after recovery; caches whose state is unknown are left out. */
    Map<String, Boolean> expectedDrains() {
        Map<String, Boolean> expected = new TreeMap<>();
        expectedByCache.forEach((cache, state) -> state.drained.ifPresent(drained -> expected.put(cache, drained)));
        return expected;
    }

    @Override
    public void close() throws InterruptedException {
        List<String> foundViolations = end();
        if (!foundViolations.isEmpty()) {
            throw new AssertionError(String.join("\n", foundViolations));
        }
    }
}
