import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Directors of several canteens form a cluster that shares cold budgets; in one canteen caches are replaced by cold ones. */
final class BorrowedBudget {
    private static final int DIRECTORS = 5;
    private static final double RESERVE = 0.5; // As in deploy/cluster.json.
    private static final int CACHES = 4;
    private static final double TRANSFERS = 5; // That a warm cache runs at once at full pace.
    private static final double MEAN_MS = 150; // Sending time of each: 510 KB at 3,400 KB a second.
    private static final double REQUESTS_PER_S = 125; // 0.94 of what four warm caches can do.
    private static final double COLD_FROM = 0.23;
    private static final double WARM_UP_MS = 16_000;
    private static final double FALL_MULTIPLE = 2;
    private static final long TIP_AFTER_MS = 1_500;
    private static final long FILL_MS = 25;

    private static volatile long toldAt;

    /** One cache box: its link, its copies, and what has reached it while it was cold. */
    private static final class Box {
        final Lab lab;
        final String id;
        final long bornMs; // 0: long ago.
        final Map<String, Long> copies = new ConcurrentHashMap<>();
        final Deque<Long> arrivals = new ArrayDeque<>();
        final AtomicInteger inFlight = new AtomicInteger();
        double worst;
        String fall;
        Cache cache;

        Box(Lab lab, String id, long bornMs) throws Exception {
            this.lab = lab;
            this.id = id;
            this.bornMs = bornMs;
            this.cache = new Cache(id, this::handle);
        }

        double share(long now) {
            return bornMs == 0 ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - bornMs) / WARM_UP_MS);
        }

        synchronized void arrive(long now) {
            if (share(now) >= 1) {
                return;
            }
            arrivals.addLast(now);
            while (arrivals.peekFirst() <= now - TIP_AFTER_MS) {
                arrivals.pollFirst();
            }
            double n = FALL_MULTIPLE * TRANSFERS * share(now) * TIP_AFTER_MS / MEAN_MS;
            double bound = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
            worst = Math.max(worst, arrivals.size() / bound);
            if (arrivals.size() > bound && fall == null) {
                fall = String.format(Locale.ROOT, "%s fell %d ms after its start: %d requests in %d ms, at most %.1f are borne (N = %.1f)", id,
                        now - bornMs, arrivals.size(), TIP_AFTER_MS, bound, n);
                lab.note("%s", fall);
            }
        }

        Cache.Reply handle(Cache.Request request) throws Exception {
            long now = System.currentTimeMillis();
            arrive(now);
            double capacity = TRANSFERS * share(now);
            if (inFlight.incrementAndGet() > 3 * capacity + 1) {
                inFlight.decrementAndGet();
                return new Cache.Reply(503, Map.of("Never-Ran", "1", "Load-Report", "inflight:" + inFlight.get() + ";x0:0.5"), new byte[0]);
            }
            try {
                String object = request.path().split("/")[3];
                Long born = copies.get(object);
                boolean hit = bornMs == 0 || born != null;
                if (!hit) {
                    if (request.header("x-fill-from") == null || String.valueOf(request.header("x-flags")).contains("no-fetch")) {
                        return new Cache.Reply(404, Map.of("Load-Report", "inflight:" + inFlight.get() + ";x0:0.5"), new byte[0]);
                    }
                    Thread.sleep(FILL_MS);
                    born = now;
                    copies.put(object, now);
                }
                Thread.sleep((long) (MEAN_MS * Math.max(1, inFlight.get() / capacity)));
                return new Cache.Reply(200, Map.of("ETag", object, "X-Born-Ms", String.valueOf(born == null ? now - 60_000 : born),
                        "Outcome", hit ? "mem" : "parent", "Load-Report", "inflight:" + inFlight.get() + ";x0:0.9"), new byte[1_000]);
            } finally {
                inFlight.decrementAndGet();
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        List<Box> boxes = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        int nextId = 1;
        for (int c = 0; c < CACHES; c++) {
            Box box = new Box(lab, String.format("s-%08x", nextId++), 0);
            boxes.add(box);
            lines.add(box.cache.line("edge-1", "small-box", "Ready", 0));
        }
        List<String> zones = new ArrayList<>(List.of("north"));
        List<Integer> seats = new ArrayList<>(List.of(0));
        for (int z = 1; z <= DIRECTORS; z++) {
            zones.add("edge-" + z);
            seats.add(1);
            if (z > 1) {
                lines.add(new Box(lab, String.format("s-%08x", 0x100 * z), 0).cache.line("edge-" + z, "small-box", "Ready", 0));
            }
        }
        Cache.Handler upstream = request -> null;
        lines.add(new Cache("s-00900901", upstream).line("north", "parent", "Ready", 0));
        lines.add(new Cache("s-00900902", upstream).line("north", "parent", "Ready", 0));
        lines.add(new Cache("s-00a00a01", upstream).line("north", "origin", "Ready", 0));
        int[] ports = new int[DIRECTORS + 1];
        int[] admins = new int[DIRECTORS + 1];
        int[] links = new int[DIRECTORS + 1];
        Feed[] feeds = new Feed[DIRECTORS + 1];
        StringBuilder members = new StringBuilder();
        for (int d = 1; d <= DIRECTORS; d++) {
            ports[d] = lab.freePort();
            admins[d] = lab.freePort();
            links[d] = lab.freePort();
            feeds[d] = new Feed(1);
            members.append(d == 1 ? "" : ",").append("{\"name\":\"d" + d + "\",\"address\":\"127.0.0.1:" + links[d] + "\"}");
        }
        List<Map<String, String>> environments = new ArrayList<>();
        List<java.nio.file.Path> configs = new ArrayList<>();
        for (int d = 1; d <= DIRECTORS; d++) {
            configs.add(lab.write("d" + d + ".json", Settings.config("d" + d, d - 1, "edge-" + d, zones, seats,
                    "127.0.0.1:" + ports[d], "127.0.0.1:" + admins[d], feeds[d].address(), lines,
                    List.of(Settings.MEDIA, Settings.PAGE, Settings.ORDER), false, 192)));
            var cluster = lab.write("cluster-d" + d + ".json", "{\"cluster\":\"canteen-menus\",\"name\":\"d" + d
                    + "\",\"listen\":\"127.0.0.1:" + links[d] + "\",\"data\":\"" + lab.folder.resolve("data-d" + d)
                    + "\",\"members\":[" + members + "],\"duties\":{\"quota\":{\"reserve\":" + RESERVE + ",\"loan_ms\":1000}}}");
            environments.add(Map.of("GW_CLUSTER", cluster.toString()));
            lab.run("exec java -jar target/pewtercourse.jar cluster init " + cluster, Map.of());
        }
        lab.releasePorts();
        for (int d = 1; d <= DIRECTORS; d++) {
            lab.director("d" + d, configs.get(d - 1), environments.get(d - 1));
        }
        for (int d = 1; d <= DIRECTORS; d++) {
            lab.awaitAlive("d" + d, ports[d]);
        }
        AtomicInteger[] ends = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        Thread clients = new Thread(() -> ask(ports[1], ends));
        clients.setDaemon(true);
        clients.start();
        Thread metrics = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(500);
                } catch (InterruptedException e) {
                    return;
                }
                StringBuilder text = new StringBuilder();
                for (String line : Lab.call(admins[1], "GET", "/status/metrics", "")[1].split("\n")) {
                    if (line.startsWith("duty.part") || line.startsWith("slow_start.s-")) {
                        text.append(line).append("  ");
                    }
                }
                if (toldAt > 0) {
                    lab.note("d1: %s", text);
                }
            }
        });
        metrics.setDaemon(true);
        metrics.start();
        Thread.sleep(15_000);
        lab.note("before: %d served, %d refused, %d failed or without an answer", ends[0].get(), ends[1].get(), ends[2].get());
        if (ends[0].get() < 500) {
            lab.unable("too little is served");
        }
        List<Box> cold = new ArrayList<>();
        for (int r = 0; r < 3; r++) {
            if (Lab.TROUBLE) {
                Box old = boxes.get(r);
                Box fresh = new Box(lab, String.format("s-%08x", 0x20 + r), System.currentTimeMillis());
                cold.add(fresh);
                toldAt = System.currentTimeMillis();
                for (int d = 1; d <= DIRECTORS; d++) {
                    feeds[d].publish("\"members\":{\"seq\":" + (r + 2) + ",\"whole\":false,\"hosts\":["
                            + old.cache.line("edge-1", "small-box", "Terminating", 0) + ","
                            + fresh.cache.line("edge-1", "small-box", "Ready", fresh.bornMs) + "]}");
                }
                lab.note("%s is replaced by %s, which is cold and empty; told to all directors", old.id, fresh.id);
            }
            Thread.sleep(9_000);
            for (Box box : cold) {
                lab.note("%s: at most %.2f of what it bears; %d served, %d refused, %d failed so far", box.id, box.worst, ends[0].get(),
                        ends[1].get(), ends[2].get());
            }
        }
        long fallen = cold.stream().filter(box -> box.fall != null).count();
        lab.end(fallen > 0, "%d of %d cold caches were pushed over", fallen, cold.size());
    }

    private static void ask(int port, AtomicInteger[] ends) {
        Random random = new Random(5);
        long startedAt = System.nanoTime();
        long sent = 0;
        List<FcgiClient> pool = new ArrayList<>();
        List<Integer> ids = new ArrayList<>();
        try {
            for (int i = 0; i < 24; i++) {
                pool.add(new FcgiClient(port));
                ids.add(0);
            }
            List<Object[]> open = new ArrayList<>();
            while (true) {
                sent++;
                long dueNanos = startedAt + (long) (sent * 1e9 / REQUESTS_PER_S);
                long waitMs = (dueNanos - System.nanoTime()) / 1_000_000;
                if (waitMs > 0) {
                    Thread.sleep(waitMs);
                }
                int c = (int) (sent % pool.size());
                ids.set(c, ids.get(c) % 30 + 1);
                Map<String, String> params = new HashMap<>();
                // Popular objects are asked for more often.
                long object = (long) (400 * Math.pow(random.nextDouble(), 1.6));
                params.put("SCRIPT_NAME", "/ops/menu-media");
                params.put("REQUEST_METHOD", "GET");
                params.put("HTTP_X_CORRELATION_ID", String.format("%016x", random.nextLong()));
                params.put("HTTP_X_DEADLINE_MS", "4000");
                params.put("HTTP_X_SUBJECT", String.format("%016x", 0x7f3a9c2100000000L + object * 0x9e3779b9L % 0xffffffffL));
                params.put("HTTP_X_CHUNK", "0");
                params.put("HTTP_X_TAG", "5");
                params.put("HTTP_X_NEED_KB", "510"); // All of one size, so that a request is one of mean work.
                FcgiClient.Answer answer = pool.get(c).send(ids.get(c), params, new byte[0]);
                open.add(new Object[] {answer, System.currentTimeMillis()});
                while (!open.isEmpty()) {
                    FcgiClient.Answer first = (FcgiClient.Answer) open.get(0)[0];
                    boolean late = System.currentTimeMillis() - (long) open.get(0)[1] > 4_500;
                    if (!first.complete && !late) {
                        break;
                    }
                    open.remove(0);
                    ends[first.status() == 200 ? 0 : first.status() == 503 ? 1 : 2].incrementAndGet();
                }
            }
        } catch (java.io.IOException | InterruptedException e) {
            // The case ends.
        }
    }
}
