package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.ScriptedFeed.Watch;
import pewtercourse.front.fastcgi.RawFrontClient;

/** The control feed that falls silent, breaks off or repeats itself: no request goes to a cache that was told to drain. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DiscoveryTest {
    private static final String HOST = "127.83.17.8";
    private static final int REQUESTS = 40;
    // What the feed has to tell counts as told after this, arrived or not.
    private static final long TOLD_MS = 7_000;

    @TempDir
    Path folder;

    private ScriptedFeed feed;
    private ScriptedCache first;
    private ScriptedCache second;
    private DirectorProcess director;
    private JsonObject config;
    private Watch watch;
    private int serial;

    @BeforeEach
    void start() throws Exception {
        feed = new ScriptedFeed(HOST);
        first = new ScriptedCache(HOST, ScriptedCache.serve("menu"));
        second = new ScriptedCache(HOST, ScriptedCache.serve("menu"));
        config = DirectorProcess.config(HOST, second.dial()).put("feed", feed.dial());
        members().getJsonObject(0).put("dial", first.dial());
        director = DirectorProcess.start(folder, config, "");
        watch = feed.next();
        assertEquals(1, watch.after());
        director.heard("director.listening");
    }

    @AfterEach
    void end() throws Exception {
        director.close();
        watch.close();
        feed.close();
        first.close();
        second.close();
    }

    private JsonArray members() {
        return config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
    }

    /** The first cache in this state, as a change of the list. */
    private String change(long number, String state) {
        JsonObject host = members().getJsonObject(0).copy().put("health", state);
        return new JsonObject()
                .put("n", number)
                .put(
                        "members",
                        new JsonObject().put("seq", number).put("whole", false).put("hosts", new JsonArray().add(host)))
                .encode();
    }

    /** The whole list, with the first cache in this state. */
    private String whole(long number, String state) {
        JsonArray hosts = members().copy();
        hosts.getJsonObject(0).put("health", state);
        return new JsonObject()
                .put("n", number)
                .put(
                        "members",
                        new JsonObject().put("seq", number).put("whole", true).put("hosts", hosts))
                .encode();
    }

    /** Asks for many objects; returns how many of the requests came to the first cache. */
    private int askAll() throws Exception {
        int before = first.requestIds().size();
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", ++serial);
                client.write(RawFrontClient.request(1, "menu-page", id, id, 20_000));
                String answer = client.readAnswer();
                assertNotNull(answer);
                assertTrue(answer.startsWith("Status: 200"), answer);
            }
        }
        return first.requestIds().size() - before;
    }

    @Test
    void aWatchThatFallsSilentIsLeftAndADrainToldRightAfterItCounts() throws Exception {
        assertTrue(askAll() > 0, "in use before");
        long silentFrom = System.nanoTime();
        Watch next = feed.next(); // Nothing is written on the first one, and it stays open.
        long tookMs = (System.nanoTime() - silentFrom) / 1_000_000;
        assertTrue(tookMs < TOLD_MS, "called again after " + tookMs + " ms");
        assertEquals(1, next.after());
        next.event(2, change(2, "Terminating"));
        watch.close();
        watch = next;
        settle(2);
        assertEquals(0, askAll(), "sent to a cache that was told to drain");
    }

    @Test
    void aWatchThatFallsSilentAfterAMoveIsLeft() throws Exception {
        try (ScriptedFeed moved = new ScriptedFeed(HOST)) {
            Files.writeString(
                    folder.resolve("config.json"),
                    config.copy().put("feed", moved.dial()).encode());
            director.signal("HUP");
            Watch silent = moved.next();
            Watch next = moved.next(); // The first one stays open, and nothing is written on it.
            next.event(2, change(2, "Terminating"));
            director.heard("discovery.disconnected");
            silent.close();
            watch.close();
            watch = next;
            settleAt(moved, 2);
            assertEquals(0, askAll(), "sent to a cache that was told to drain");
        }
    }

    @Test
    void aStreamThatIsCutInsideAnEventIsAskedForItAgain() throws Exception {
        String drain = "id: 2\ndata: " + change(2, "Terminating") + "\n\n";
        watch.write(drain.substring(0, drain.length() / 2));
        watch.close();
        watch = feed.next();
        assertEquals(1, watch.after(), "the event was not whole");
        watch.write(drain);
        settle(2);
        assertEquals(0, askAll(), "sent to a cache that was told to drain");
    }

    @Test
    void eventsThatComeTwiceAndAWholeListInTheirPlaceCountOnce() throws Exception {
        watch.event(2, change(2, "Terminating"));
        watch.event(3, change(3, "Ready"));
        watch.event(2, change(2, "Terminating"));
        settle(3);
        assertTrue(askAll() > 0, "an old event undid a later one");
        watch.event(4, whole(4, "Terminating"));
        settle(4);
        assertEquals(0, askAll(), "sent to a cache that was told to drain");
    }

    @Test
    void aDrainToldAfterSigtermCounts() throws Exception {
        assertTrue(askAll() > 0, "in use before");
        int before = first.requestIds().size() + second.requestIds().size();
        CompletableFuture<Socket> held = new CompletableFuture<>();
        first.play((socket, line, id) -> held.complete(socket));
        second.play((socket, line, id) -> held.complete(socket));
        try (RawFrontClient order = new RawFrontClient(director.address());
                RawFrontClient client = new RawFrontClient(director.address())) {
            order.write(RawFrontClient.request(1, "place-order", "00000000000f0001", 20_000));
            Socket answers = held.get(30, TimeUnit.SECONDS); // The process stays until this one is answered.
            assertEquals(
                    before + 1, first.requestIds().size() + second.requestIds().size());
            first.play(ScriptedCache.serve("menu"));
            second.play(ScriptedCache.serve("menu"));
            director.signal("TERM");
            director.heard("director.stopping");
            watch.event(2, change(2, "Terminating"));
            settle(2);
            int drained = first.requestIds().size();
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", 0xf0010 + i);
                client.write(RawFrontClient.request(1, "menu-page", id, id, 20_000));
                String answer = client.readAnswer();
                if (answer == null || answer.startsWith("Status: 503")) {
                    break; // The cut-off.
                }
            }
            assertEquals(drained, first.requestIds().size(), "sent to a cache that was told to drain");
            ScriptedCache.serve("menu").answer(answers, "", "");
            assertTrue(order.readAnswer().startsWith("Status: 200"));
        }
        assertEquals(0, director.ended(20));
    }

    private void settle(long number) throws Exception {
        settleAt(feed, number);
    }

    /** Ends the stream: the next call names the last event that was taken. */
    private void settleAt(ScriptedFeed at, long number) throws Exception {
        watch.close();
        watch = at.next();
        assertEquals(number, watch.after());
    }
}
