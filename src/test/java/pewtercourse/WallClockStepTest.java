package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.emulator.SystemFaults;
import pewtercourse.front.fastcgi.RawFrontClient;

/** Steps the wall clock of a director: its deadlines, waits and ages of copies stay spans of real time. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WallClockStepTest {
    private static final String HOST = "127.83.17.32";
    private static final String OBJECT = "7f3a9c21e0b4d655";
    private static final int DEADLINE_MS = 1_500;
    private static final long STEP_AFTER_MS = 300;

    /** The platform kills a director as early as this after SIGTERM: the longest deadline, at most 3 s, and 0.7 s. */
    private static final long KILLED_AFTER_MS = 3_700;

    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private static final long PURGE_AGE_MS = 1_000;

    /** Rules.AnswerSlack of the example settings, and 50 ms for sockets. */
    private static final int ANSWER_SLACK_MS = 58;

    @TempDir
    Path folder;

    private ScriptedCache cache;
    private ScriptedFeed feed;
    private SystemFaults faults;
    private DirectorProcess director;

    @BeforeEach
    void startDirector() throws Exception {
        faults = DirectorProcess.systemFaults(folder);
        cache = new ScriptedCache(HOST, ScriptedCache.respondWith("menu"));
        feed = new ScriptedFeed(HOST);
        JsonObject config =
                DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort()).put("feed", feed.hostAndPort());
        director = DirectorProcess.start(folder, config, faults);
    }

    @AfterEach
    void stop() throws Exception {
        if (director != null) {
            director.close();
            feed.close();
            cache.close();
        }
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static byte[] request(int number) {
        return RawFrontClient.request(1, "menu-page", String.format("%016x", number), OBJECT, DEADLINE_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5, -5, 3_600, -3_600})
    void aRequestInFlightIsAnsweredByItsDeadline(long stepSeconds) throws Exception {
        try (ScriptedFeed.Watch watch = feed.accept();
                RawFrontClient client = connect()) {
            cache.setResponder(ScriptedCache.neverRespond());
            long sentNanos = System.nanoTime();
            client.write(request(1));
            Thread.sleep(STEP_AFTER_MS);
            faults.stepWallClockTo(stepSeconds);
            String answer = client.readAnswer();
            assertNotNull(answer, "closed without an answer");
            assertTrue(answer.startsWith("Status: 503"), answer);
            assertTrue(
                    millisSince(sentNanos) <= DEADLINE_MS + ANSWER_SLACK_MS,
                    "answered after " + millisSince(sentNanos) + " ms");
            assertEquals(0, director.logLinesContaining("request.unanswered").size(), "answered by the backstop");
            cache.setResponder(ScriptedCache.respondWith("menu"));
            client.write(request(2));
            assertTrue(client.readAnswer().startsWith("Status: 200"), "not served after the step");
        }
    }

    private RawFrontClient connect() throws Exception {
        director.awaitEvent("director.listening");
        return new RawFrontClient(director.address());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5, -5, 3_600, -3_600})
    void aDirectorEndsInTimeWhenTheClockIsSteppedBeforeOrDuringItsShutdown(long stepSeconds) throws Exception {
        try (ScriptedFeed.Watch watch = feed.accept();
                RawFrontClient open = connect();
                RawFrontClient idle = new RawFrontClient(director.address())) {
            idle.write(request(1));
            assertTrue(idle.readAnswer().startsWith("Status: 200"), "not served before the step");
            cache.setResponder(ScriptedCache.neverRespond());
            faults.stepWallClockTo(stepSeconds);
            open.write(request(2));
            long signalledNanos = System.nanoTime();
            director.signal("TERM");
            director.awaitEvent("director.refusing");
            faults.stepWallClockTo(-stepSeconds);
            String answer = open.readAnswer();
            assertNotNull(answer, "closed without an answer");
            assertTrue(answer.startsWith("Status: 503"), answer);
            open.close();
            idle.close();
            director.awaitExit(EXIT_TIMEOUT_SECONDS);
            assertTrue(millisSince(signalledNanos) <= KILLED_AFTER_MS, "ended after " + millisSince(signalledNanos));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5, -5, 3_600, -3_600})
    void noCopyFromBeforeAPurgeIsAskedForAfterAStep(long stepSeconds) throws Exception {
        try (ScriptedFeed.Watch watch = feed.accept();
                RawFrontClient client = connect()) {
            faults.stepWallClockTo(stepSeconds);
            long purgedNanos = System.nanoTime();
            JsonObject purge = new JsonObject().put("key", OBJECT).put("at", System.currentTimeMillis());
            watch.writeEvent(2, new JsonObject().put("n", 2).put("purge", purge).encode());
            Thread.sleep(PURGE_AGE_MS);
            faults.stepWallClockTo(-stepSeconds);
            client.write(request(1));
            assertTrue(client.readAnswer().startsWith("Status: 200"), "not served after the step");
            long maxAgeMs = cache.requestFields().stream()
                    .filter(field -> field.startsWith("X-Max-Age-Ms: "))
                    .mapToLong(field -> Long.parseLong(field.substring("X-Max-Age-Ms: ".length())))
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
            assertTrue(maxAgeMs <= millisSince(purgedNanos), "a copy of " + maxAgeMs + " ms would do");
        }
    }
}
