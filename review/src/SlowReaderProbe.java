import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * One web server has 32 requests open on one connection, each for an object of 240,000 bytes. All caches answer at once.
 * With the trouble, it reads 0.5 MB a second.
 */
final class SlowReaderProbe {
    private static final int REQUESTS = 32;
    private static final int OBJECT_BYTES = 240_000;
    private static final int SLOW_BYTES_PER_SECOND = 500_000;

    /** Bytes that no other object has. */
    private static byte[] object(String path) {
        byte[] bytes = new byte[OBJECT_BYTES];
        Arrays.fill(bytes, (byte) 'x');
        byte[] name = path.getBytes(StandardCharsets.UTF_8);
        System.arraycopy(name, 0, bytes, 0, name.length);
        return bytes;
    }

    public static void main(String[] args) {
        Site.run(args, recordFile -> {
            Site[] self = new Site[1];
            CacheServer.Behaviour behaviour = (cache, request, socket) -> {
                byte[] object = object(request.path());
                Thread.sleep(10);
                self[0].record.note("attempt of %s at %s, answered whole", request.field("Request-Id"), cache.name);
                CacheServer.reply(
                        socket,
                        200,
                        object,
                        "ETag", String.format("%016x", request.path().hashCode() & 0xffffffffL),
                        "X-Born-Ms", String.valueOf(System.currentTimeMillis()),
                        "Outcome", "mem");
            };
            try (Site site = new Site(recordFile, 4, behaviour)) {
                self[0] = site;
                site.director.writeConfig(Settings.canteen(site.director, site.feed));
                site.director.start(Map.of());
                if (!site.director.awaitAlive(30_000)) {
                    return 2;
                }
                Set<Integer> open = new HashSet<>();
                int served = 0;
                try (FastCgi client = new FastCgi(site.director.port, site.trouble ? SLOW_BYTES_PER_SECOND : 0)) {
                    for (int i = 1; i <= REQUESTS; i++) {
                        String id = String.format("510e0000%08x", i);
                        client.send(
                                i,
                                Settings.request("menu-media", id, String.format("%016x", i), 5_000),
                                new byte[0]);
                        open.add(i);
                    }
                    site.record.note("client has sent %d requests on one connection", REQUESTS);
                    while (!open.isEmpty()) {
                        FastCgi.Answer answer;
                        try {
                            answer = client.readAnswer(20_000);
                        } catch (IOException e) {
                            site.record.note("client: the connection broke: %s", e);
                            break;
                        }
                        if (answer == null) {
                            site.record.note("client: the director ended the connection");
                            break;
                        }
                        open.remove(answer.id());
                        served += answer.kind().equals("served") ? 1 : 0;
                        site.record.note(
                                "client has the whole answer %d: %s, %d bytes", answer.id(), answer.kind(), answer.bodyLength());
                    }
                    site.record.note("%d bytes of answers that are not whole", client.unfinished());
                }
                for (int id : open) {
                    site.record.note("BROKEN: request %d was taken and has no whole answer", id);
                }
                site.record.note("%d served, %d without an answer", served, open.size());
                return served == 0 ? 2 : open.isEmpty() ? 0 : 1;
            }
        });
    }
}
