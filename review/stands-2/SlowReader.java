import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A client asks for several objects on one connection and reads at a steady pace, 0 being full speed; its director may be
 * told to end meanwhile. Every request needs its whole answer. One that was begun and cut off is not counted as lost.
 */
final class SlowReader {
    private static final int REQUESTS = 32; // "Up to 32 requests may be open on one connection"
    private static final int OBJECT_BYTES = 240_000; // "Objects hold any bytes, at most 240,000"

    private SlowReader() {}

    static void play(Lab lab, long pace, boolean ends) throws Exception {
        byte[] object = new byte[OBJECT_BYTES];
        Cache.Handler serve = request -> {
            Thread.sleep(10);
            return new Cache.Reply(200, Map.of("ETag", "4be0c1927d55a6f3", "Outcome", "mem",
                    "X-Born-Ms", String.valueOf(System.currentTimeMillis() - 60_000)), object);
        };
        List<String> lines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
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

        FcgiClient client = new FcgiClient(port, pace);
        List<FcgiClient.Answer> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Map<String, String> params = new HashMap<>();
            params.put("SCRIPT_NAME", "/ops/menu-media");
            params.put("REQUEST_METHOD", "GET");
            params.put("HTTP_X_CORRELATION_ID", String.format("%016x", 0x5100000000000000L + System.nanoTime() * 64 + i));
            params.put("HTTP_X_DEADLINE_MS", "5000");
            params.put("HTTP_X_SUBJECT", String.format("%016x", 0x700 + i));
            params.put("HTTP_X_CHUNK", "0");
            params.put("HTTP_X_TAG", "17");
            params.put("HTTP_X_NEED_KB", "960");
            answers.add(client.send(i + 1, params, new byte[0]));
        }
        lab.note("%d requests sent on one connection, which is read at %d bytes a second (0: at full speed)", REQUESTS, pace);
        Thread.sleep(400);
        if (ends) {
            lab.note("SIGTERM to the director");
            director.destroy();
        }
        long until = System.currentTimeMillis() + 90_000;
        while (System.currentTimeMillis() < until && !client.ended && answers.stream().anyMatch(a -> !a.complete)) {
            Thread.sleep(50);
        }
        if (!client.ended && answers.stream().anyMatch(a -> !a.complete)) {
            lab.unable("the connection is still open and read after 90 s: the machine is too slow for this case");
        }
        int served = 0, refused = 0, failed = 0, begun = 0, lost = 0;
        for (int i = 0; i < REQUESTS; i++) {
            FcgiClient.Answer answer = answers.get(i);
            int status = answer.status();
            lab.note("request %d: %s, %d bytes received", i + 1, status == 0 ? "no answer" : "status " + status, answer.receivedBytes());
            if (status == 200) served++;
            else if (status == 503 || status == 429) refused++;
            else if (status != 0) failed++;
            else if (answer.receivedBytes() > 0) begun++;
            else lost++;
        }
        lab.note("director runs: %s, connection ended: %s", director.isAlive(), client.ended);
        lab.note("log: %s", lab.log("n0").replace("\n", "\n            "));
        lab.end(lost > 0, "%d served, %d refused, %d failed, %d begun and cut off, %d without any byte of an answer",
                served, refused, failed, begun, lost);
    }
}
