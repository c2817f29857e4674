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
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;

/** Requests that are answered or whose clients leave, in any order, against what their clients saw or gave up. */
class MetricsModelTest {
    private static final String[] CLASSES = {"menu-media", "menu-page", "no-such-class"};
    private static final Answer[] ANSWERS = {
        Answer.served(Buffer.buffer("menu"), "t"), Answer.same("t"), Answer.refused(50), Answer.failed()
    };

    private record Open(long id, String cls, Consumer<Answer> answer, Runnable gone) {}

    @Property(tries = 400, seed = "7")
    void everyRequestIsCountedOnceByTheAnswerThatItsClientSaw(
            @ForAll List<@IntRange(max = 7) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        Metrics metrics = new Metrics();
        metrics.registerClasses(List.of("menu-media", "menu-page"));
        List<Consumer<Answer>> behind = new ArrayList<>();
        List<Open> open = new ArrayList<>();
        boolean[] atOnce = {false};
        long serial = 0;
        RequestHandler counted = metrics.countRequests(
                (r, answer) -> {
                    if (atOnce[0]) {
                        answer.accept(Answer.refused(50));
                    }
                    behind.add(answer);
                    return () -> {};
                },
                c -> !c.equals("no-such-class"));
        Map<String, Integer> seen = new TreeMap<>();
        for (int s : steps) {
            if (s <= 3) {
                String cls = CLASSES[random.nextInt(3)];
                atOnce[0] = s == 3;
                long id = ++serial;
                Runnable gone = counted.handle(
                        new ClientRequest("9b1f03aa5c7e2d41", cls, "o", 0, 0, 1, null, Buffer.buffer(), 0, 1), a -> {
                            if (open.stream().anyMatch(o -> o.id == id) || atOnce[0]) {
                                seen.merge(cls + a.kind(), 1, Integer::sum);
                            }
                        });
                if (!atOnce[0]) {
                    open.add(new Open(id, cls, behind.get(behind.size() - 1), gone));
                }
            } else if (!open.isEmpty() && s <= 5) {
                Open o = open.get(random.nextInt(open.size()));
                o.answer.accept(ANSWERS[random.nextInt(4)]);
                open.remove(o);
            } else if (!open.isEmpty()) {
                Open o = open.remove(random.nextInt(open.size()));
                o.gone.run();
                o.gone.run();
                seen.merge(o.cls + "FAILED", 1, Integer::sum); // Withdrawn: whoever asked was not served.
                atOnce[0] = false;
                o.answer.accept(ANSWERS[0]); // Too late.
            }
            assertEquals(
                    open.stream().filter(o -> !o.cls.equals("no-such-class")).count(), metrics.openRequests());
        }
        String text = metrics.format(new Metrics.GaugeValues(7, 12, 2, 1, 3));
        for (String cls : List.of("menu-media", "menu-page")) {
            int served = seen.getOrDefault(cls + "SERVED", 0) + seen.getOrDefault(cls + "SAME", 0);
            assertTrue(text.contains("operations." + cls + ".fulfilled=" + served + "\n"), text);
            assertTrue(
                    text.contains("operations." + cls + ".throttled=" + seen.getOrDefault(cls + "REFUSED", 0) + "\n"));
            assertTrue(text.contains("operations." + cls + ".faulted=" + seen.getOrDefault(cls + "FAILED", 0) + "\n"));
        }
        assertTrue(!text.contains("no-such-class"), "a name that a bad client made up");
        assertTrue(
                text.endsWith("relayed=7\nopen_requests=" + metrics.openRequests()
                        + "\nregistry_entries=12\nout_of_rotation=2\ncfg_accepted=1\ncfg_invalid=3\n"),
                text);
    }
}
