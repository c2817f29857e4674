package pewtercourse.cluster;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Operators that take caches out and back while parts fail, one after the other for each cache. What was answered with a
 * yes must be what a confirmed leader then says, until something else is asked for; after a no, or none, either may be.
 */
final class RandomOperators implements AutoCloseable {
    /** What an operator knows of one cache: out, in, or (null) either. */
    private static final class Known {
        private Boolean out;

        void asked() {
            out = null;
        }

        void answered(boolean yes, boolean wanted) {
            out = yes ? wanted : null;
        }
    }

    private final ClusterProcesses fleet;
    private final List<Thread> clients = new ArrayList<>();
    private final Map<String, Known> known = new TreeMap<>();
    private final ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
    private volatile boolean over;
    private volatile int said, compared;

    /** One operator for each of the caches. */
    RandomOperators(ClusterProcesses fleet, long seed, String... caches) {
        this.fleet = fleet;
        for (String cache : caches) {
            known.put(cache, new Known());
        }
        for (String cache : caches) {
            Thread t = new Thread(() -> speak(new Random(seed * 31 + cache.hashCode()), cache), "words " + cache);
            t.setDaemon(true);
            clients.add(t);
            t.start();
        }
    }

    private void speak(Random random, String cache) {
        Known k = known.get(cache);
        while (!over) {
            List<ClusterProcesses.Member> up = fleet.members.stream()
                    .filter(m -> m.process != null && m.process.isAlive())
                    .toList();
            if (up.isEmpty()) {
                continue;
            }
            ClusterProcesses.Member m = up.get(random.nextInt(up.size()));
            boolean out = random.nextBoolean();
            k.asked();
            boolean yes = out ? m.enter(cache) : m.exit(cache);
            k.answered(yes, out);
            said++;
            compare(cache, k, m);
        }
    }

    private void compare(String cache, Known k, ClusterProcesses.Member by) {
        JsonObject s = k.out == null ? null : fleet.confirmed(fleet.members);
        if (s != null) {
            compared++;
            Set<String> out = new TreeSet<>(s.getJsonObject("out").fieldNames());
            if (out.size() > 1) {
                wrong.add("more are out than the maintenance budget allows: " + s);
            }
            if (out.contains(cache) != k.out) {
                wrong.add(cache + " is " + (k.out ? "in, and " : "out, and ") + by.name
                        + " had said yes to the contrary: " + s);
            }
        }
    }

    int compared() {
        return compared;
    }

    /** Ends the calls and tells what was wrong, empty if nothing was. */
    List<String> end() throws InterruptedException {
        over = true;
        for (Thread t : clients) {
            t.join(TimeUnit.SECONDS.toMillis(30));
        }
        return List.copyOf(wrong);
    }

    /** What must be seen everywhere once all is well again: by cache, out or in; without those that may be either. */
    Map<String, Boolean> sure() {
        Map<String, Boolean> sure = new TreeMap<>();
        known.forEach((cache, k) -> {
            if (k.out != null) {
                sure.put(cache, k.out);
            }
        });
        return sure;
    }

    @Override
    public void close() throws InterruptedException {
        List<String> all = end();
        if (!all.isEmpty()) {
            throw new AssertionError(String.join("\n", all));
        }
    }
}
