import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some web servers each have 32 requests open on one connection, the most that one may carry, for objects of the largest
 * size. The caches send each answer whole at the pace that the configuration names. With the trouble, the clients send
 * their requests at once; without it, one after the other on each connection.
 */
final class BurstCase {
    private static final int CONNECTIONS = 10;
    private static final int REQUESTS = 32;
    private static final int ROUNDS = 2; // The case ends after the first round that breaks the rule.
    private static final int OBJECT_BYTES = 240_000;
    private static final int FLOW_BYTES_PER_SECOND = 310_000; // As in the configuration.
    private static final double CLIENT_KB_PER_SECOND = 3_400; // Domain.ClientKbPerS of the settings.
    private static final int DEADLINE_MS = 5_000;
    private static final int SLACK_MS = 550; // Half a second, and 50 ms on sockets.

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
            AtomicInteger attempts = new AtomicInteger();
            CacheServer.Behaviour behaviour = (cache, request, socket) -> {
                byte[] object = object(request.path());
                attempts.incrementAndGet();
                socket.getOutputStream()
                        .write(CacheServer.head(
                                200,
                                object.length,
                                "ETag", String.format("%016x", request.path().hashCode() & 0xffffffffL),
                                "X-Born-Ms", String.valueOf(System.currentTimeMillis()),
                                "Outcome", "mem"));
                long startedAt = System.nanoTime();
                for (int offset = 0; offset < object.length; offset += 8_000) {
                    long due = startedAt + offset * 1_000_000_000L / FLOW_BYTES_PER_SECOND;
                    Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
                    socket.getOutputStream().write(object, offset, Math.min(8_000, object.length - offset));
                }
            };
            try (Site site = new Site(recordFile, 12, behaviour)) {
                site.director.writeConfig(Settings.canteen(site.director, site.feed));
                site.director.start(Map.of());
                if (!site.director.awaitAlive(30_000)) {
                    return 2;
                }
                AtomicInteger served = new AtomicInteger();
                AtomicInteger refused = new AtomicInteger();
                AtomicInteger failed = new AtomicInteger();
                AtomicInteger lost = new AtomicInteger();
                for (int round = 0; round < ROUNDS && lost.get() == 0; round++) {
                    List<Thread> clients = new ArrayList<>();
                    for (int c = 0; c < CONNECTIONS; c++) {
                        int number = round * CONNECTIONS + c;
                        Thread client = new Thread(() -> play(site, number, served, refused, failed, lost));
                        client.start();
                        clients.add(client);
                    }
                    for (Thread client : clients) {
                        client.join();
                    }
                    Thread.sleep(3_000); // Quiet between two bursts.
                }
                site.record.note(
                        "%d served, %d refused, %d failed, %d never answered or too late; %d attempts at caches",
                        served.get(), refused.get(), failed.get(), lost.get(), attempts.get());
                System.out.printf("%d served, %d refused, %d failed, %d lost%n", served.get(), refused.get(), failed.get(), lost.get());
                return served.get() == 0 && lost.get() == 0 ? 2 : lost.get() > 0 ? 1 : 0;
            }
        });
    }

    private static void play(
            Site site, int number, AtomicInteger served, AtomicInteger refused, AtomicInteger failed, AtomicInteger lost) {
        long[] sentAt = new long[REQUESTS + 1];
        boolean[] open = new boolean[REQUESTS + 1];
        try (FastCgi client = new FastCgi(site.director.port, 0)) {
            for (int i = 1; i <= REQUESTS; i++) {
                String id = String.format("b1e5%04x%08x", number, i);
                Map<String, String> params =
                        Settings.request("menu-media", id, String.format("%08x%08x", number, i), DEADLINE_MS);
                params.put("HTTP_X_NEED_KB", String.valueOf(OBJECT_BYTES * CLIENT_KB_PER_SECOND / FLOW_BYTES_PER_SECOND));
                client.send(i, params, new byte[0]);
                sentAt[i] = System.nanoTime();
                open[i] = true;
                site.record.note("client %d sends request %s", number, id);
                if (!site.trouble) {
                    read(site, client, number, sentAt, open, served, refused, failed, lost);
                }
            }
            for (int i = 1; site.trouble && i <= REQUESTS; i++) {
                read(site, client, number, sentAt, open, served, refused, failed, lost);
            }
        } catch (IOException e) {
            site.record.note("client %d: %s", number, e);
        }
        for (int i = 1; i <= REQUESTS; i++) {
            if (open[i]) {
                lost.incrementAndGet();
                site.record.note("BROKEN: client %d: request %d has no answer", number, i);
            }
        }
    }

    private static void read(
            Site site,
            FastCgi client,
            int number,
            long[] sentAt,
            boolean[] open,
            AtomicInteger served,
            AtomicInteger refused,
            AtomicInteger failed,
            AtomicInteger lost)
            throws IOException {
        FastCgi.Answer answer = client.readAnswer(DEADLINE_MS + 2_000);
        if (answer == null) {
            throw new IOException("the director ended the connection");
        }
        open[answer.id()] = false;
        long ms = (System.nanoTime() - sentAt[answer.id()]) / 1_000_000;
        site.record.note("client %d: request %d %s after %d ms", number, answer.id(), answer.kind(), ms);
        if (ms > DEADLINE_MS + SLACK_MS) {
            lost.incrementAndGet();
            site.record.note("BROKEN: client %d: request %d was answered too late", number, answer.id());
        } else if (answer.kind().equals("served")) {
            served.incrementAndGet();
        } else if (answer.kind().equals("refused")) {
            refused.incrementAndGet();
        } else {
            failed.incrementAndGet();
        }
    }
}
