package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.RawFrontClient;

/** SIGTERM at awkward instants: what was read gets its one answer, what comes later is not sent on, and the process ends. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ShutdownTest {
    private static final String HOST = "127.83.17.7";
    // Together more than the sockets hold, so that the rest waits in the director, and less than it holds for one
    // client.
    private static final int SMALL_WINDOW = 4_096, LARGE = 200_000, LARGE_ANSWERS = 24;
    private static final int SLOW_READER_MS = 20; // Its pace: so long before it reads each answer.
    private static final String PAGE = "menu".repeat(50);
    // Over all bounds of a shutdown.
    private static final long END_SECONDS = 20;

    @TempDir
    Path folder;

    private ScriptedCache cache;
    private DirectorProcess director;
    private JsonObject config;

    @BeforeEach
    void prepare() throws Exception {
        cache = new ScriptedCache(HOST, ScriptedCache.serve(PAGE));
        config = DirectorProcess.config(HOST, cache.dial());
    }

    @AfterEach
    void end() throws Exception {
        director.close();
        cache.close();
    }

    private void start() throws Exception {
        director = DirectorProcess.start(folder, config, "");
        director.heard("director.listening");
    }

    private RawFrontClient connect() throws Exception {
        return new RawFrontClient(director.address());
    }

    private static byte[] page(int number) {
        return RawFrontClient.request(1, "menu-page", String.format("%016x", number), 20_000);
    }

    private void terminate() throws Exception {
        director.signal("TERM");
        director.heard("director.stopping");
    }

    private static void assertServed(String answer) {
        assertNotNull(answer, "its connection ended without an answer");
        assertTrue(answer.startsWith("Status: 200") && answer.endsWith(PAGE), answer);
    }

    @Test
    void aConnectionThatHasSaidNothingYetIsServed() throws Exception {
        start();
        try (RawFrontClient client = connect()) {
            terminate();
            assertServed(client.write(page(1)).readAnswer());
            assertNull(client.readAnswer(), "then it is closed, and not reset");
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void aRequestThatIsHalfReadIsServed() throws Exception {
        start();
        try (RawFrontClient client = connect()) {
            byte[] request = page(1);
            client.write(request, 0, 30);
            terminate();
            client.write(request, 30, request.length);
            assertServed(client.readAnswer());
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void clientsThatRestUntilTheyAreClosedKeepNobodyWaiting() throws Exception {
        start();
        List<RawFrontClient> resting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            resting.add(connect());
            assertServed(resting.get(i).write(page(i + 1)).readAnswer());
        }
        resting.add(connect()); // One that never says anything.
        terminate();
        for (RawFrontClient client : resting) {
            assertNull(client.readAnswer(), "closed, and not reset");
        }
        assertEquals(0, director.ended(END_SECONDS));
        for (RawFrontClient client : resting) {
            client.close();
        }
    }

    // It was sent on while another request was open, and its answer was lost with the process.
    @Test
    void whatIsReadAfterTheCutOffIsNotSentOn() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        start();
        cache.play((socket, line, id) -> held.complete(socket));
        try (RawFrontClient slow = connect();
                RawFrontClient late = connect()) {
            slow.write(page(1));
            held.get(30, TimeUnit.SECONDS);
            cache.play(ScriptedCache.serve(PAGE));
            assertServed(late.write(page(2)).readAnswer());
            byte[] next = page(3);
            late.write(next, 0, 20); // So that it is not closed as idle.
            terminate();
            director.heard("director.refusing");
            late.write(next, 20, next.length);
            String answer = late.readAnswer();
            assertTrue(answer == null || answer.startsWith("Status: 503"), answer);
            assertEquals(List.of(String.format("%016x", 1), String.format("%016x", 2)), cache.requestIds());
            ScriptedCache.serve(PAGE).answer(held.get(), "", "");
            assertServed(slow.readAnswer());
            assertNull(slow.readAnswer(), "closed, and not reset");
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    // The end of the process over bytes that it had not read reset the connection, and the answer was lost with it.
    @Test
    void anAnswerIsReadWholeThoughMoreBytesCameBehindItsRequest() throws Exception {
        String large = "x".repeat(200_000);
        CompletableFuture<Socket> held = new CompletableFuture<>();
        start();
        cache.play((socket, line, id) -> held.complete(socket));
        try (RawFrontClient client = connect()) {
            client.write(page(1));
            held.get(30, TimeUnit.SECONDS);
            terminate();
            director.heard("director.refusing");
            byte[] next = RawFrontClient.request(2, "menu-page", String.format("%016x", 2), 20_000);
            client.write(next, 0, 20);
            ScriptedCache.serve(large).answer(held.get(), "", "");
            String answer = client.readAnswer();
            assertNotNull(answer, () -> "ended without an answer: " + director.logged(""));
            assertTrue(answer.endsWith(large), "not whole");
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void aCacheThatHangsKeepsTheProcessForABoundedTimeAndItsRequestIsAnswered() throws Exception {
        start();
        cache.play(ScriptedCache.hang());
        try (RawFrontClient client = connect()) {
            client.write(RawFrontClient.request(1, "place-order", String.format("%016x", 1), 60_000));
            while (cache.requestIds().isEmpty()) {
                Thread.onSpinWait();
            }
            terminate();
            String answer = client.readAnswer();
            assertNotNull(answer, "ended without an answer");
            assertTrue(answer.startsWith("Status: 502"), answer);
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void answersThatAreReadSlowlyDuringTheShutdownArriveWhole() throws Exception {
        String large = "x".repeat(LARGE);
        cache.play(ScriptedCache.serve(large));
        start();
        try (RawFrontClient client = new RawFrontClient(director.address(), SMALL_WINDOW, 0)) {
            for (int i = 1; i <= LARGE_ANSWERS; i++) {
                client.write(RawFrontClient.request(i, "menu-page", String.format("%016x", i), 20_000));
            }
            while (cache.requestIds().size() < LARGE_ANSWERS) {
                Thread.onSpinWait();
            }
            terminate();
            director.heard("director.refusing");
            for (int i = 1; i <= LARGE_ANSWERS; i++) {
                Thread.sleep(SLOW_READER_MS);
                String answer = client.readAnswer();
                assertNotNull(answer, "ended without an answer");
                assertTrue(
                        answer.startsWith("Status: 200") && answer.endsWith(large),
                        () -> "not whole, " + answer.length() + " characters: "
                                + answer.lines().limit(5).toList());
            }
            assertNull(client.readAnswer(), "closed, and not reset");
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    // Its first attempt is turned away once the shutdown has begun.
    @Test
    void aRequestThatIsRepeatedDuringTheShutdownIsServed() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        start();
        cache.play((socket, line, id) -> {
            if (!held.complete(socket)) {
                ScriptedCache.serve(PAGE).answer(socket, line, id);
            }
        });
        try (RawFrontClient client = connect()) {
            client.write(page(1));
            Socket first = held.get(30, TimeUnit.SECONDS);
            terminate();
            ScriptedCache.write(first, ScriptedCache.NEVER_RAN);
            assertServed(client.readAnswer());
            assertNull(client.readAnswer(), "one answer, then closed, and not reset");
        }
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void aRequestWhoseAttemptStillConnectsGetsItsOneAnswer() throws Exception {
        try (SilentListener neverUp = new SilentListener(HOST)) {
            config = DirectorProcess.config(HOST, neverUp.dial());
            start();
            try (RawFrontClient client = connect()) {
                client.write(RawFrontClient.request(1, "place-order", String.format("%016x", 1), 1_500));
                neverUp.awaitDial();
                terminate();
                String answer = client.readAnswer();
                assertNotNull(answer, "ended without an answer");
                assertTrue(answer.startsWith("Status: 50"), answer);
                assertNull(client.readAnswer(), "one answer, then closed, and not reset");
            }
            assertEquals(0, director.ended(END_SECONDS));
        }
    }

    @Test
    void aSignalDuringTheWarmUpEndsIt() throws Exception {
        director = DirectorProcess.start(folder, config, "");
        InetSocketAddress at = director.address();
        while (director.isAlive()) {
            try (Socket s = new Socket(at.getAddress(), at.getPort())) {
                break; // It listens, and warms up.
            } catch (java.io.IOException e) {
                Thread.onSpinWait();
            }
        }
        terminate();
        assertEquals(0, director.ended(END_SECONDS));
    }

    @Test
    void aSignalDuringAReloadWhileTheFeedCanNotBeReachedEndsIt() throws Exception {
        config.put("feed", HOST + ":1");
        start();
        Files.writeString(
                folder.resolve("config.json"),
                config.copy().put("feed", HOST + ":2").encode());
        director.signal("HUP");
        terminate();
        assertEquals(0, director.ended(END_SECONDS));
    }
}
