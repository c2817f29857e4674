package pewtercourse.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pewtercourse.zone.Account.Use;
import pewtercourse.zone.Route.Kind;

class AccountTest {
    private static final Route[] ROUTES = {
        Route.OWN, Route.SIBLING, new Route(Kind.PARENT, 0), new Route(Kind.PARENT, 2), new Route(Kind.ORIGIN, 1)
    };

    @Property(tries = 200, seed = "7")
    void totalCostEqualsTheBytesCountedAtEachLink(@ForAll @IntRange(max = 200) int answers, @ForAll long seed) {
        Random random = new Random(seed);
        Account account = new Account();
        Map<String, Long> bytesByLink = new HashMap<>();
        for (int i = 0; i < answers; i++) {
            String requestClass = random.nextBoolean() ? "media" : "page";
            Route route = ROUTES[random.nextInt(ROUTES.length)];
            Use use = Use.values()[random.nextInt(3)];
            long bytes = random.nextInt(240_000);
            if (random.nextInt(4) > 0) {
                account.addCertain(requestClass, route, use, bytes);
            } else {
                account.addEstimated(requestClass, route, use, bytes);
            }
            // Counts the bytes hop by hop, as the links would.
            boolean fromOutside = route.kind() == Kind.PARENT || route.kind() == Kind.ORIGIN;
            bytesByLink.merge("link", fromOutside ? bytes : 0, Long::sum);
            for (int hop = 0; fromOutside && hop < route.steps(); hop++) {
                bytesByLink.merge("step", bytes, Long::sum);
            }
            bytesByLink.merge("origin", route.kind() == Kind.ORIGIN ? bytes : 0, Long::sum);
        }
        assertEquals(
                new Cost(bytesByLink.getOrDefault("link", 0L), bytesByLink.getOrDefault("step", 0L), bytesByLink.getOrDefault("origin", 0L)),
                account.totalCost());
        List<Long> answerCounts = new ArrayList<>();
        account.forEachLine(line -> answerCounts.add(line.getValue().answers()));
        assertEquals(answers, answerCounts.stream().mapToLong(n -> n).sum());
    }

    @Example
    void keepsCertainAndEstimatedBytesApart() {
        Account account = new Account();
        account.addCertain("page", ROUTES[2], Use.SERVED, 10);
        account.addEstimated("page", ROUTES[2], Use.SERVED, 7);
        account.addCertain("page", ROUTES[2], Use.WASTED, 1);
        List<String> lines = new ArrayList<>();
        account.forEachLine(line -> lines.add(line.getKey().use() + " " + line.getValue()));
        assertEquals(
                List.of(
                        "SERVED Sum[answers=2, certain=10, estimated=7]",
                        "WASTED Sum[answers=1, certain=1, estimated=0]"),
                lines);
        assertThrows(IllegalArgumentException.class, () -> account.addCertain("page", Route.OWN, Use.LATE, -1));
    }

    @Example
    void countsHubStepsInTheShorterDirectionOfTheRing() {
        assertEquals(0, Route.steps(2, 2, 5));
        assertEquals(1, Route.steps(0, 4, 5));
        assertEquals(2, Route.steps(1, 4, 5));
        assertEquals(0, Route.steps(0, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> Route.steps(0, 5, 5));
    }
}
