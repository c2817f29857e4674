package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pewtercourse.emulator.SystemFaults;
import pewtercourse.front.fastcgi.RawFrontClient;

/** Lets system calls of a director fail for a moment: requests are answered in their time all the same. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SystemCallFailureTest {
    private static final String HOST = "127.83.17.33";
    private static final int DEADLINE_MS = 800;
    private static final int FAILURES = 3;
    private static final int INTERRUPTIONS = 500;
    private static final int STOPPED_DEADLINE_MS = 3_000;
    private static final long STOPPED_MS = 600;
    private static final long DEADLINE_SLACK_MS = 150;

    /** Rules.AnswerSlack of the example settings, and 50 ms for sockets. */
    private static final int ANSWER_SLACK_MS = 58;

    @TempDir
    Path folder;

    private ScriptedCache cache;
    private SystemFaults faults;
    private DirectorProcess director;

    @BeforeEach
    void startDirector() throws Exception {
        faults = DirectorProcess.systemFaults(folder);
        cache = new ScriptedCache(HOST, ScriptedCache.respondWith("menu"));
        JsonObject config = DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort());
        director = DirectorProcess.start(folder, config, faults);
        director.awaitEvent("director.listening");
    }

    @AfterEach
    void stop() throws Exception {
        if (director != null) {
            director.close();
            cache.close();
        }
    }

    private void assertAnsweredInTime(RawFrontClient client, int number, String status) throws Exception {
        long sentNanos = System.nanoTime();
        client.write(RawFrontClient.request(1, "menu-page", String.format("%016x", number), DEADLINE_MS));
        String answer = client.readAnswer();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertNotNull(answer, "closed without an answer");
        assertTrue(answer.startsWith(status), answer);
        assertTrue(millis <= DEADLINE_MS + ANSWER_SLACK_MS, "answered after " + millis + " ms");
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS"})
    void aRequestIsAnsweredInTimeThoughItsConnectionIsNotAcceptedAtOnce(SystemFaults.Errno error) throws Exception {
        faults.fail(SystemFaults.Call.ACCEPT, FAILURES, error);
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            assertAnsweredInTime(client, 1, "Status: 200");
        }
        assertEquals(0, faults.pending(SystemFaults.Call.ACCEPT));
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"})
    void aRequestIsAnsweredInTimeThoughConnectionsToCachesFailAtOnce(SystemFaults.Errno error) throws Exception {
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            faults.fail(SystemFaults.Call.CONNECT, 1, error);
            assertAnsweredInTime(client, 1, "Status: 200");
            faults.fail(SystemFaults.Call.SOCKET, 1, error);
            cache.setResponder(ScriptedCache.neverRespond());
            assertAnsweredInTime(client, 2, "Status: 503");
        }
    }

    @Test
    void theDeadlinePassedToACacheLeavesOutTheTimeInWhichTheDirectorWasStopped() throws Exception {
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            assertAnsweredInTime(client, 1, "Status: 200");
            director.signal("STOP");
            long sentNanos = System.nanoTime();
            client.write(RawFrontClient.request(1, "menu-page", String.format("%016x", 2), STOPPED_DEADLINE_MS));
            Thread.sleep(STOPPED_MS);
            director.signal("CONT");
            assertTrue(client.readAnswer().startsWith("Status: 200"), "not served after the stop");
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            List<Long> timeouts = cache.requestFields().stream()
                    .filter(field -> field.startsWith("Timeout-Ms: "))
                    .map(field -> Long.parseLong(field.substring("Timeout-Ms: ".length())))
                    .toList();
            long leftMs = STOPPED_DEADLINE_MS - STOPPED_MS;
            assertTrue(
                    timeouts.get(timeouts.size() - 1) <= leftMs + DEADLINE_SLACK_MS,
                    "passed on " + timeouts + " ms, left " + leftMs + ", answered after " + elapsedMs);
        }
    }

    @Test
    void interruptedWaitsAndShortTransfersDelayNoAnswer() throws Exception {
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            for (int number = 1; number <= 20; number++) {
                faults.interruptWaits(INTERRUPTIONS);
                faults.shortenTransfers(INTERRUPTIONS);
                assertAnsweredInTime(client, number, "Status: 200");
            }
        }
        assertEquals(List.of(), director.logLinesContaining(" ERROR "));
    }
}
