import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings of a keyed class. The origin drops a repeat by its key for 3 s, and runs what has no key. With the trouble, one
 * cache box in nine dies when the origin has run a booking that came through it, before it can pass on the answer.
 */
final class KeyCase {
    private static final int BOXES = 9;
    private static final int BOOKINGS = 60;
    private static final int BOOKING_EACH_MS = 50;
    private static final int DIES_AT_BOOKING = 20;
    private static final long KEY_MS = 3_000;
    private static final int ORIGIN_MS = 30;

    /** The origin: drops a repeat of a key that it has seen in the last 3 s, and counts what it runs. */
    private static final class Origin {
        final Map<String, Long> keySeenAt = new HashMap<>();
        final Map<String, Integer> runs = new HashMap<>(); // By booking: the id is in the body.

        synchronized boolean run(String booking, String key) {
            long now = System.nanoTime() / 1_000_000;
            Long seen = key == null ? null : keySeenAt.get(key);
            if (seen != null && now - seen < KEY_MS) {
                return false;
            }
            if (key != null) {
                keySeenAt.put(key, now);
            }
            runs.merge(booking, 1, Integer::sum);
            return true;
        }
    }

    public static void main(String[] args) {
        Site.run(args, recordFile -> {
            Origin origin = new Origin();
            AtomicInteger reached = new AtomicInteger();
            AtomicBoolean died = new AtomicBoolean();
            Site[] self = new Site[1];
            CacheServer.Behaviour behaviour = (cache, request, socket) -> {
                Site site = self[0];
                String booking = new String(request.body());
                String key = request.field("Once-Key");
                if (request.field("X-Fill-From") == null) {
                    CacheServer.reply(socket, 404, new byte[0]); // Runs only with a source.
                    return;
                }
                Thread.sleep(ORIGIN_MS);
                boolean ran = origin.run(booking, key);
                site.record.note(
                        "%s (Request-Id %s) at %s, Once-Key %s, source %s: %s",
                        booking, request.field("Request-Id"), cache.name, key, request.field("X-Fill-From"),
                        ran ? "the origin RAN it" : "the origin dropped a repeat");
                if (site.trouble && reached.incrementAndGet() >= DIES_AT_BOOKING && died.compareAndSet(false, true)) {
                    site.record.note("cache box %s dies; its connections are reset", cache.name);
                    cache.die();
                    return;
                }
                CacheServer.reply(
                        socket,
                        200,
                        ("done: " + booking).getBytes(),
                        "ETag", request.field("Request-Id"),
                        "X-Born-Ms", String.valueOf(System.currentTimeMillis()),
                        "Outcome", "parent");
            };
            try (Site site = new Site(recordFile, BOXES, behaviour)) {
                self[0] = site;
                site.director.writeConfig(Settings.booking(site.director, site.feed));
                site.director.start(Map.of());
                if (!site.director.awaitAlive(30_000)) {
                    return 2;
                }
                Map<Integer, String> answers = new ConcurrentHashMap<>();
                try (FastCgi client = new FastCgi(site.director.port, 0)) {
                    Thread reader = CacheServer.daemon(() -> {
                        try {
                            while (answers.size() < BOOKINGS) {
                                FastCgi.Answer answer = client.readAnswer(10_000);
                                if (answer == null) {
                                    return;
                                }
                                answers.put(answer.id(), answer.kind());
                                site.record.note("client got booking %d: %s", answer.id(), answer.kind());
                            }
                        } catch (IOException e) {
                            site.record.note("client: %s", e);
                        }
                    });
                    for (int i = 1; i <= BOOKINGS; i++) {
                        String id = String.format("b00c0000%08x", i);
                        String key = String.format("5c0f6e1a2b3d4c59a8b7c6d5%08x", i);
                        Map<String, String> params =
                                Settings.request("kiln-booking", id, String.format("%016x", i), 3_000);
                        params.put("HTTP_X_OPERATION_KEY", key);
                        site.record.note("client sends booking %d, id %s, X-Operation-Key %s", i, id, key);
                        client.send(i, params, ("booking " + i).getBytes());
                        Thread.sleep(BOOKING_EACH_MS);
                    }
                    reader.join(5_000);
                }
                int twice = 0;
                for (Map.Entry<String, Integer> run : origin.runs.entrySet()) {
                    if (run.getValue() > 1) {
                        twice++;
                        site.record.note("BROKEN: %s ran %d times", run.getKey(), run.getValue());
                    }
                }
                long served = answers.values().stream().filter("served"::equals).count();
                site.record.note("%d bookings served, %d ran more than once", served, twice);
                System.out.printf("%d bookings served, %d ran more than once%n", served, twice);
                boolean played = served >= BOOKINGS / 2 && died.get() == site.trouble;
                return twice > 0 ? 1 : played ? 0 : 2;
            }
        });
    }
}
