package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pewtercourse.decision.GiveUpReason;
import pewtercourse.decision.SlowStartStatus;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.ReadDelays;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryLimits;
import pewtercourse.memory.MemoryStage;
import pewtercourse.memory.ReadControl;

/** Compares the counters with the answers that clients got, while requests are answered and clients disconnect. */
class MetricsModelTest {
    private static final String[] CLASSES = {"menu-media", "menu-page", "no-such-class"};
    private static final Answer[] ANSWERS = {
        Answer.served(Buffer.buffer("menu"), "t"), Answer.same("t"), Answer.refused(50), Answer.failed()
    };

    private record OpenRequest(long id, String className, Consumer<Answer> answer, Runnable onDisconnect) {}

    @Property(tries = 400, seed = "7")
    void countsEachRequestOnceByTheAnswerOfItsClient(
            @ForAll List<@IntRange(max = 7) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        Metrics metrics = new Metrics();
        metrics.registerClasses(List.of("menu-media", "menu-page"));
        List<Consumer<Answer>> answers = new ArrayList<>();
        List<OpenRequest> open = new ArrayList<>();
        boolean[] answersAtOnce = {false};
        long lastId = 0;
        RequestHandler counted = metrics.countRequests(
                (request, answer) -> {
                    if (answersAtOnce[0]) {
                        answer.accept(Answer.refused(50));
                    }
                    answers.add(answer);
                    return () -> {};
                },
                className -> !className.equals("no-such-class"));
        Map<String, Integer> received = new TreeMap<>();
        for (int step : steps) {
            if (step <= 3) {
                String className = CLASSES[random.nextInt(3)];
                answersAtOnce[0] = step == 3;
                long id = ++lastId;
                Runnable onDisconnect = counted.handle(
                        new ClientRequest(
                                "9b1f03aa5c7e2d41", className, "o", 0, 0, 1, null, null, false, Buffer.buffer(), 0, 1),
                        answer -> {
                            if (open.stream().anyMatch(request -> request.id == id) || answersAtOnce[0]) {
                                received.merge(className + answer.kind(), 1, Integer::sum);
                            }
                        });
                if (!answersAtOnce[0]) {
                    open.add(new OpenRequest(id, className, answers.get(answers.size() - 1), onDisconnect));
                }
            } else if (!open.isEmpty() && step <= 5) {
                OpenRequest request = open.get(random.nextInt(open.size()));
                request.answer.accept(ANSWERS[random.nextInt(4)]);
                open.remove(request);
            } else if (!open.isEmpty()) {
                OpenRequest request = open.remove(random.nextInt(open.size()));
                request.onDisconnect.run();
                request.onDisconnect.run();
                received.merge(request.className + "FAILED", 1, Integer::sum); // A disconnect counts as failed.
                answersAtOnce[0] = false;
                request.answer.accept(ANSWERS[0]); // Too late.
            }
            assertEquals(
                    open.stream()
                            .filter(request -> !request.className.equals("no-such-class"))
                            .count(),
                    metrics.openRequests());
        }
        HeldBytes held = new HeldBytes(new MemoryLimits(100, 200));
        held.add(MemoryStage.RECEIVING, 30);
        held.release(MemoryStage.RECEIVING, 10);
        held.recordRejection(MemoryStage.RECEIVING);
        String text = metrics.format(new Metrics.GaugeValues(
                7,
                12,
                2,
                1,
                3,
                Map.of(GiveUpReason.SLOW_START, 4L),
                Map.of("s-1", new SlowStartStatus(1, 0.5, 2_000, 9_000, 8_000, 6)),
                held,
                new ReadControl(held),
                delays(),
                5));
        for (String className : List.of("menu-media", "menu-page")) {
            int served = received.getOrDefault(className + "SERVED", 0) + received.getOrDefault(className + "SAME", 0);
            assertTrue(text.contains("operations." + className + ".fulfilled=" + served + "\n"), text);
            assertTrue(text.contains("operations." + className + ".throttled="
                    + received.getOrDefault(className + "REFUSED", 0) + "\n"));
            assertTrue(text.contains(
                    "operations." + className + ".faulted=" + received.getOrDefault(className + "FAILED", 0) + "\n"));
        }
        assertTrue(!text.contains("no-such-class"), "counted a class that the settings lack");
        assertTrue(
                text.endsWith("relayed=7\nopen_requests=" + metrics.openRequests()
                        + "\nregistry_entries=12\nout_of_rotation=2\ncfg_accepted=1\ncfg_invalid=3\ngiven_up.deadline=0\ngiven_up.attempts=0\n"
                        + "given_up.slow_start=4\ngiven_up.no_endpoint=0\ngiven_up.retry_budget=0\n"
                        + "given_up.unusable_request=0\ngiven_up.unreached=0\ngiven_up.fill_limit=0\n"
                        + "slow_start.endpoints=1\nslow_start.s-1.age_ms=2\nslow_start.s-1.budget_ms=9\n"
                        + "slow_start.s-1.used_ms=8\nslow_start.s-1.refusals=6\n"
                        + "memory.requests.bytes=0\nmemory.requests.peak_bytes=0\nmemory.requests.rejections=0\n"
                        + "memory.receiving.bytes=20\nmemory.receiving.peak_bytes=30\nmemory.receiving.rejections=1\n"
                        + "memory.answers.bytes=0\nmemory.answers.peak_bytes=0\nmemory.answers.rejections=0\n"
                        + "memory.request_limit_bytes=100\nmemory.response_limit_bytes=200\n"
                        + "memory.paused_reads=0\nmemory.pauses=0\n"
                        + "read_delays.late=1\nread_delays.longest_ms=150\noverload.rejections=5\nclients_left=1\n"),
                text);
    }

    private static ReadDelays delays() {
        ReadDelays delays = new ReadDelays();
        delays.recordRead("web-1", 90_000);
        delays.recordRead("web-1", 150_000);
        delays.recordClientLeft();
        return delays;
    }
}
