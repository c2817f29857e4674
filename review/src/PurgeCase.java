import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three sites with a director each form a cluster. Objects are purged all the time, as usual. With the trouble, all caches
 * of one site are lost, so that the caches of the other sites serve its clients.
 */
final class PurgeCase {
    private static final int OBJECTS = 40;
    private static final int PURGE_EACH_MS = 1_000;
    private static final int REQUEST_EACH_MS = 20;
    private static final long PURGE_TAKES_MS = 6_000;
    private static final long NOTICE_MS = 1_000 + 50;
    private static final int BEFORE_LOSS_MS = 5_000;
    private static final int AFTER_LOSS_MS = 5_000;

    private record Purge(long at, double told) {}

    private final Map<String, Purge> purges = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger servedElsewhere = new AtomicInteger();
    private Recorder record;

    /** What one cache holds: when the origin gave out each copy, by object. */
    private final class Cache implements CacheServer.Behaviour {
        final Map<String, Long> held = new ConcurrentHashMap<>();
        final String zone;

        Cache(String zone) {
            this.zone = zone;
        }

        @Override
        public void answer(CacheServer cache, CacheServer.Request request, java.net.Socket socket) throws IOException {
            double arrivedAt = record.at(request.firstByteAt()); // A send counts from its first byte.
            long now = System.currentTimeMillis();
            String object = request.path().split("/")[3];
            Purge purge = purges.get(object);
            Long born = held.get(object);
            if (purge != null && born != null && born < purge.at && now > purge.at + PURGE_TAKES_MS - 200) {
                held.remove(object);
                born = null;
            }
            long maxAge = Long.parseLong(request.fields().getOrDefault("x-max-age-ms", "0"));
            boolean hit = born != null && (maxAge == 0 || now - born <= maxAge);
            if (!hit && request.field("X-Fill-From") == null) {
                CacheServer.reply(socket, 404, new byte[0]);
                return;
            }
            if (!hit) {
                born = now;
                held.put(object, born);
            }
            boolean old = purge != null && born < purge.at && arrivedAt > purge.told + NOTICE_MS;
            if (old) {
                broken.incrementAndGet();
            }
            if (!zone.equals("edge-1")) {
                servedElsewhere.incrementAndGet();
            }
            record.note(
                    "%sattempt of %s for %s at %s in %s, X-Max-Age-Ms %s: copy born at %d%s",
                    old ? "BROKEN: " : "", request.field("Request-Id"), object, cache.name, zone,
                    request.field("X-Max-Age-Ms"), born,
                    purge == null ? "" : String.format(", purged at %d, told %.0f ms ago", purge.at, arrivedAt - purge.told));
            CacheServer.reply(
                    socket, 200, (object + " born " + born).getBytes(StandardCharsets.UTF_8),
                    "ETag", Long.toHexString(born * 1_000_003 ^ Long.parseUnsignedLong(object, 16)),
                    "X-Born-Ms", String.valueOf(born),
                    "Outcome", hit ? "mem" : "parent");
        }
    }

    public static void main(String[] args) {
        Site.run(args, recordFile -> new PurgeCase().play(recordFile));
    }

    private static String object(int i) {
        return String.format("0b1ec70000%06x", i);
    }

    private int play(Path recordFile) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new Recorder(recordFile);
        record.note("trouble: %s", trouble);
        Path root = Site.root();
        Feed feed = new Feed();
        List<CacheServer> servers = new ArrayList<>();
        List<CacheServer> ownCaches = new ArrayList<>();
        List<String> hosts = new ArrayList<>();
        long startedAt = System.currentTimeMillis();
        int number = 1;
        for (String zone : List.of("edge-1", "edge-2", "edge-3", "north", "north")) {
            boolean edge = zone.startsWith("edge");
            for (int i = 0; i < (edge ? 3 : 1); i++) {
                Cache model = new Cache(zone);
                for (int o = 0; o < OBJECTS; o++) {
                    model.held.put(object(o), startedAt);
                }
                CacheServer server = new CacheServer(String.format("s-%08x", number), model);
                servers.add(server);
                if (zone.equals("edge-1")) {
                    ownCaches.add(server);
                }
                String kind = edge ? "small-box" : number == 10 ? "parent" : "origin";
                hosts.add(Feed.host(server.name, server.port, zone, kind, "Ready"));
                number++;
            }
        }
        feed.add(Feed.members(1, true, hosts.toArray(new String[0])));
        List<Director> directors = new ArrayList<>();
        try {
            int[] ports = {Director.freePort(), Director.freePort(), Director.freePort()};
            for (int i = 0; i < 3; i++) {
                Director director = new Director(root, "d" + (i + 1), record);
                directors.add(director);
                director.writeConfig(Settings.booking(director, feed)
                        .replace("\"Me\":0,\"Instances\":1,\"Zone\":\"edge-1\",\"Zones\":[\"north\",\"edge-1\"]",
                                "\"Me\":" + i + ",\"Instances\":3,\"Zone\":\"edge-" + (i + 1)
                                        + "\",\"Zones\":[\"north\",\"edge-1\",\"edge-2\",\"edge-3\"]")
                        .replace("\"SeatsByZone\":[0,1]", "\"SeatsByZone\":[0,1,1,1]"));
                Path cluster = director.folder.resolve("cluster.json");
                Files.writeString(cluster, clusterFile(director, i, ports));
                Path sites = director.folder.resolve("sites.json");
                Files.writeString(sites, Files.readString(root.resolve("deploy/sites.json")));
                int code = new ProcessBuilder(
                                "java", "-jar", root.resolve("target/pewtercourse.jar").toString(), "cluster", "init", cluster.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(director.folder.resolve("init.log").toFile())
                        .start()
                        .waitFor();
                record.note("cluster init of %s: %d", director.name, code);
            }
            for (Director director : directors) {
                director.start(Map.of(
                        "GW_CLUSTER", director.folder.resolve("cluster.json").toString(),
                        "GW_SITES", director.folder.resolve("sites.json").toString()));
            }
            for (Director director : directors) {
                if (!director.awaitAlive(30_000)) {
                    return 2;
                }
            }
            Thread.sleep(2_000); // A leader, the duties and a first plan.
            double begin = record.now();
            double nextPurge = begin;
            int purged = 0;
            boolean lost = false;
            int sent = 0;
            int served = 0;
            try (FastCgi client = new FastCgi(directors.get(0).port, 0)) {
                Thread reader = CacheServer.daemon(() -> {
                    try {
                        for (FastCgi.Answer a = client.readAnswer(30_000); a != null; a = client.readAnswer(30_000)) {
                            record.note("client got %d: %s", a.id(), a.kind());
                        }
                    } catch (IOException e) {
                        // The case has ended.
                    }
                });
                while (record.now() < begin + BEFORE_LOSS_MS + AFTER_LOSS_MS) {
                    if (trouble && !lost && record.now() > begin + BEFORE_LOSS_MS) {
                        lost = true;
                        record.note("all caches of edge-1 are lost");
                        for (CacheServer cache : ownCaches) {
                            cache.die();
                        }
                    }
                    if (record.now() >= nextPurge) {
                        nextPurge += PURGE_EACH_MS;
                        String object = object(purged++ % OBJECTS);
                        long at = System.currentTimeMillis();
                        purges.put(object, new Purge(at, record.now()));
                        feed.add("\"purge\":{\"key\":\"" + object + "\",\"at\":" + at + "}");
                        record.note("purge of %s at %d told", object, at);
                    }
                    sent++;
                    String id = String.format("9e75%012x", sent);
                    client.send(
                            1 + sent % 30_000,
                            Settings.request("small-file", id, object(sent * 7 % OBJECTS), 2_000),
                            new byte[0]);
                    Thread.sleep(REQUEST_EACH_MS);
                }
            }
            record.note("%d requests; %d attempts at other sites; %d answered from a purged copy", sent, servedElsewhere.get(), broken.get());
            System.out.printf("%d requests, %d elsewhere, %d old%n", sent, servedElsewhere.get(), broken.get());
            return broken.get() > 0 ? 1 : trouble && servedElsewhere.get() < 20 ? 2 : 0;
        } finally {
            for (Director director : directors) {
                director.close();
            }
            for (CacheServer server : servers) {
                server.close();
            }
            feed.close();
            record.close();
        }
    }

    private static String clusterFile(Director director, int index, int[] ports) {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            members.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"d" + (i + 1) + "\",\"address\":\"127.0.0.1:" + ports[i] + "\"}");
        }
        return "{\"cluster\":\"kiln-booking-net\",\"name\":\"" + director.name + "\",\"listen\":\"127.0.0.1:" + ports[index]
                + "\",\"data\":\"" + director.folder.resolve("data") + "\",\"members\":[" + members
                + "],\"heartbeat_ms\":50,\"election_ms\":[300,600],\"lease_ms\":2000,\"drift\":0.01,"
                + "\"duties\":{\"maintenance\":{\"share\":0.25,\"out_most_ms\":3600000,\"beyond\":\"wait\"},"
                + "\"quota\":{\"reserve\":0.5,\"loan_ms\":1000}}}";
    }
}
