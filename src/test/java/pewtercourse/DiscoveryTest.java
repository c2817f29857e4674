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

/** No request goes to a draining cache although the control feed falls silent, breaks off or repeats events. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DiscoveryTest {
    private static final String HOST = "127.83.17.8";
    private static final int REQUESTS = 40;
    // A change of the feed counts as delivered after this time, whether it has arrived or not.
    private static final long DELIVERY_DEADLINE_MS = 7_000;

    @TempDir
    Path folder;

    private ScriptedFeed feed;
    private ScriptedCache firstCache;
    private ScriptedCache secondCache;
    private DirectorProcess director;
    private JsonObject config;
    private Watch watch;
    private int lastSerial;

    @BeforeEach
    void startDirector() throws Exception {
        feed = new ScriptedFeed(HOST);
        firstCache = new ScriptedCache(HOST, ScriptedCache.respondWith("menu"));
        secondCache = new ScriptedCache(HOST, ScriptedCache.respondWith("menu"));
        config = DirectorProcess.configWithoutFeed(HOST, secondCache.hostAndPort())
                .put("feed", feed.hostAndPort());
        members().getJsonObject(0).put("dial", firstCache.hostAndPort());
        director = DirectorProcess.start(folder, config, "");
        watch = feed.accept();
        assertEquals(1, watch.lastEventId());
        director.awaitEvent("director.listening");
    }

    @AfterEach
    void stopDirector() throws Exception {
        director.close();
        watch.close();
        feed.close();
        firstCache.close();
        secondCache.close();
    }

    private JsonArray members() {
        return config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
    }

    /** An event that changes only the state of the first cache. */
    private String changeEvent(long number, String state) {
        JsonObject host = members().getJsonObject(0).copy().put("health", state);
        return new JsonObject()
                .put("n", number)
                .put(
                        "members",
                        new JsonObject().put("seq", number).put("whole", false).put("hosts", new JsonArray().add(host)))
                .encode();
    }

    /** An event with the complete list of caches, the first one in this state. */
    private String completeListEvent(long number, String state) {
        JsonArray hosts = members().copy();
        hosts.getJsonObject(0).put("health", state);
        return new JsonObject()
                .put("n", number)
                .put(
                        "members",
                        new JsonObject().put("seq", number).put("whole", true).put("hosts", hosts))
                .encode();
    }

    /** Requests many objects and returns how many of the requests reached the first cache. */
    private int requestObjects() throws Exception {
        int requestsBefore = firstCache.requestIds().size();
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", ++lastSerial);
                client.write(RawFrontClient.request(1, "menu-page", id, id, 20_000));
                String answer = client.readAnswer();
                assertNotNull(answer);
                assertTrue(answer.startsWith("Status: 200"), answer);
            }
        }
        return firstCache.requestIds().size() - requestsBefore;
    }

    @Test
    void reconnectsWhenTheFeedFallsSilentAndAppliesADrainSentAfterwards() throws Exception {
        assertTrue(requestObjects() > 0, "the first cache is not used before it drains");
        long silentSinceNanos = System.nanoTime();
        Watch next = feed.accept(); // The first connection stays open, and nothing is written to it.
        long reconnectMs = (System.nanoTime() - silentSinceNanos) / 1_000_000;
        assertTrue(reconnectMs < DELIVERY_DEADLINE_MS, "reconnected after " + reconnectMs + " ms");
        assertEquals(1, next.lastEventId());
        next.writeEvent(2, changeEvent(2, "Terminating"));
        watch.close();
        watch = next;
        awaitEventsReceived(2);
        assertEquals(0, requestObjects(), "requests were sent to a draining cache");
    }

    @Test
    void reconnectsWhenTheFeedFallsSilentAfterItsAddressChanged() throws Exception {
        try (ScriptedFeed movedFeed = new ScriptedFeed(HOST)) {
            Files.writeString(
                    folder.resolve("config.json"),
                    config.copy().put("feed", movedFeed.hostAndPort()).encode());
            director.signal("HUP");
            Watch silent = movedFeed.accept();
            Watch next = movedFeed.accept(); // The first connection stays open, and nothing is written to it.
            next.writeEvent(2, changeEvent(2, "Terminating"));
            director.awaitEvent("discovery.disconnected");
            silent.close();
            watch.close();
            watch = next;
            awaitEventsReceivedFrom(movedFeed, 2);
            assertEquals(0, requestObjects(), "requests were sent to a draining cache");
        }
    }

    @Test
    void requestsAnEventAgainWhenTheStreamIsCutInsideIt() throws Exception {
        String drain = "id: 2\ndata: " + changeEvent(2, "Terminating") + "\n\n";
        watch.write(drain.substring(0, drain.length() / 2));
        watch.close();
        watch = feed.accept();
        assertEquals(1, watch.lastEventId(), "an incomplete event was counted as received");
        watch.write(drain);
        awaitEventsReceived(2);
        assertEquals(0, requestObjects(), "requests were sent to a draining cache");
    }

    @Test
    void ignoresRepeatedEventsAndAppliesACompleteList() throws Exception {
        watch.writeEvent(2, changeEvent(2, "Terminating"));
        watch.writeEvent(3, changeEvent(3, "Ready"));
        watch.writeEvent(2, changeEvent(2, "Terminating"));
        awaitEventsReceived(3);
        assertTrue(requestObjects() > 0, "a repeated old event undid a later one");
        watch.writeEvent(4, completeListEvent(4, "Terminating"));
        awaitEventsReceived(4);
        assertEquals(0, requestObjects(), "requests were sent to a draining cache");
    }

    @Test
    void appliesADrainReceivedAfterSigterm() throws Exception {
        assertTrue(requestObjects() > 0, "the first cache is not used before it drains");
        int requestsBefore =
                firstCache.requestIds().size() + secondCache.requestIds().size();
        CompletableFuture<Socket> unansweredSocket = new CompletableFuture<>();
        firstCache.setResponder((socket, line, id) -> unansweredSocket.complete(socket));
        secondCache.setResponder((socket, line, id) -> unansweredSocket.complete(socket));
        try (RawFrontClient order = new RawFrontClient(director.address());
                RawFrontClient client = new RawFrontClient(director.address())) {
            order.write(RawFrontClient.request(1, "place-order", "00000000000f0001", 20_000));
            // The process stays until this order is answered.
            Socket orderSocket = unansweredSocket.get(30, TimeUnit.SECONDS);
            assertEquals(
                    requestsBefore + 1,
                    firstCache.requestIds().size() + secondCache.requestIds().size());
            firstCache.setResponder(ScriptedCache.respondWith("menu"));
            secondCache.setResponder(ScriptedCache.respondWith("menu"));
            director.signal("TERM");
            director.awaitEvent("director.stopping");
            watch.writeEvent(2, changeEvent(2, "Terminating"));
            awaitEventsReceived(2);
            int requestsWhenDrained = firstCache.requestIds().size();
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", 0xf0010 + i);
                client.write(RawFrontClient.request(1, "menu-page", id, id, 20_000));
                String answer = client.readAnswer();
                if (answer == null || answer.startsWith("Status: 503")) {
                    break; // The shutdown refuses new requests.
                }
            }
            assertEquals(requestsWhenDrained, firstCache.requestIds().size(), "requests were sent to a draining cache");
            ScriptedCache.respondWith("menu").respond(orderSocket, "", "");
            assertTrue(order.readAnswer().startsWith("Status: 200"));
        }
        assertEquals(0, director.awaitExit(20));
    }

    private void awaitEventsReceived(long lastEventId) throws Exception {
        awaitEventsReceivedFrom(feed, lastEventId);
    }

    /** Ends the stream and accepts the next connection, whose request names the last received event. */
    private void awaitEventsReceivedFrom(ScriptedFeed nextFeed, long lastEventId) throws Exception {
        watch.close();
        watch = nextFeed.accept();
        assertEquals(lastEventId, watch.lastEventId());
    }
}
