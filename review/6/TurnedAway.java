import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Usual clients, and bad ones that send hundreds of requests at once and each again the moment it is turned away. */
final class TurnedAway {
    private static final int BAD_CONNECTIONS = 16; // Of 341 that clients may hold: a third of 1,024 descriptors.
    private static final int AT_ONCE = 32; // "Up to 32 requests may be open on one connection"
    private static final int BODY_BYTES = 48_000; // "one write carries up to 48,000"
    private static final int SECONDS = 60;

    private static final AtomicLong ids = new AtomicLong(0x5a00000000000000L);
    private static final AtomicInteger sentByBad = new AtomicInteger();
    private static final AtomicInteger turnedAway = new AtomicInteger();
    private static final AtomicInteger servedToBad = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        Cache.Handler serve = request -> {
            Thread.sleep(30);
            return new Cache.Reply(200, Map.of("ETag", request.header("request-id"), "Outcome", "parent",
                    "Load-Report", "inflight:1;x0:0.9", "X-Born-Ms", String.valueOf(System.currentTimeMillis())), new byte[2_000]);
        };
        List<String> lines = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            lines.add(new Cache(String.format("s-%08x", i), serve).line("edge-1", "small-box", "Ready", 0));
        }
        lines.add(new Cache("s-00000901", serve).line("north", "parent", "Ready", 0));
        lines.add(new Cache("s-00000a01", serve).line("north", "origin", "Ready", 0));
        int port = lab.freePort();
        int admin = lab.freePort();
        var config = lab.write("n0.json", Settings.config("n0", 0, "edge-1", List.of("north", "edge-1"), List.of(0, 1),
                "127.0.0.1:" + port, "127.0.0.1:" + admin, new Feed(1).address(), lines,
                List.of(Settings.MEDIA, Settings.PAGE, Settings.ORDER), false, 192));
        lab.releasePorts();
        Process director = lab.director("n0", config, Map.of());
        lab.awaitAlive("n0", port);

        if (Lab.TROUBLE) {
            for (int c = 0; c < BAD_CONNECTIONS; c++) {
                Thread bad = new Thread(() -> sendAgain(port));
                bad.setDaemon(true);
                bad.start();
            }
            lab.note("%d bad connections: %d requests with %d bytes at once, each again the moment it is turned away",
                    BAD_CONNECTIONS, BAD_CONNECTIONS * AT_ONCE, BODY_BYTES);
        }
        Thread figures = new Thread(() -> {
            while (true) {
                StringBuilder text = new StringBuilder();
                for (String line : Lab.call(admin, "GET", "/status/metrics", "")[1].split("\n")) {
                    if (line.startsWith("open_requests") || line.startsWith("memory.request")) {
                        text.append(line).append("  ");
                    }
                }
                lab.note("figures: %s", text);
                try {
                    Thread.sleep(1_000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        figures.setDaemon(true);
        figures.start();
        FcgiClient usual = new FcgiClient(port);
        List<FcgiClient.Answer> answers = new ArrayList<>();
        long until = System.currentTimeMillis() + SECONDS * 1_000L;
        for (int id = 1; System.currentTimeMillis() < until && director.isAlive(); id = id % 30 + 1) {
            try {
                if (usual.ended) {
                    usual.close();
                    usual = new FcgiClient(port);
                }
                answers.add(usual.send(id, params("menu-page", 3_000, "20"), new byte[0]));
            } catch (java.io.IOException e) {
                // The connection has ended: a new one is made.
            }
            Thread.sleep(100);
        }
        // Whoever ends for lack of memory writes that first, and may take a moment more.
        boolean crashed = director.waitFor(lab.log("n0").contains("Terminating due to") ? 15 : 1, java.util.concurrent.TimeUnit.SECONDS);
        int served = 0, refused = 0, none = 0;
        for (FcgiClient.Answer answer : answers) {
            answer.await(crashed ? 0 : 1_000);
            if (answer.status() == 200) served++;
            else if (answer.complete) refused++;
            else none++;
        }
        lab.note("bad clients: %d requests sent, %d turned away, %d served", sentByBad.get(), turnedAway.get(), servedToBad.get());
        lab.note("usual clients: %d served, %d refused or failed, %d without an answer", served, refused, none);
        String log = lab.log("n0");
        lab.note("end of the log: %s", log.substring(Math.max(0, log.length() - 600)).replace("\n", "\n            "));
        if (served == 0 && !crashed) {
            lab.unable("no usual client was served");
        }
        lab.end(crashed, crashed ? "the director ended by itself with exit code " + director.exitValue() + "; "
                + none + " requests of usual clients without an answer" : "the director runs");
    }

    private static void sendAgain(int port) {
        while (true) {
            try (FcgiClient client = new FcgiClient(port)) {
                FcgiClient.Answer[] open = new FcgiClient.Answer[AT_ONCE];
                while (!client.ended) {
                    for (int i = 0; i < AT_ONCE; i++) {
                        open[i] = order(client, i + 1);
                    }
                    boolean waiting = true;
                    while (waiting && !client.ended) {
                        waiting = false;
                        for (int i = 0; i < AT_ONCE; i++) {
                            if (open[i] != null && open[i].await(0)) {
                                boolean away = open[i].status() == 503 || open[i].status() == 429;
                                (away ? turnedAway : servedToBad).incrementAndGet();
                                open[i] = away ? order(client, i + 1) : null;
                            }
                            waiting |= open[i] != null;
                        }
                        Thread.sleep(1);
                    }
                }
            } catch (Exception e) {
                try {
                    Thread.sleep(100);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        }
    }

    private static FcgiClient.Answer order(FcgiClient client, int id) throws Exception {
        sentByBad.incrementAndGet();
        return client.send(id, params("place-order", 3_000, "47"), new byte[BODY_BYTES]);
    }

    private static Map<String, String> params(String type, int deadlineMs, String kb) {
        long id = ids.incrementAndGet();
        Map<String, String> params = new HashMap<>();
        params.put("SCRIPT_NAME", "/ops/" + type);
        params.put("REQUEST_METHOD", "POST");
        params.put("HTTP_X_CORRELATION_ID", String.format("%016x", id));
        params.put("HTTP_X_DEADLINE_MS", String.valueOf(deadlineMs));
        params.put("HTTP_X_SUBJECT", String.format("%016x", 0x7f3a9c21e0b40000L + 7919 * (id % 300)));
        params.put("HTTP_X_CHUNK", "0");
        params.put("HTTP_X_TAG", "17");
        params.put("HTTP_X_NEED_KB", kb);
        return params;
    }
}
