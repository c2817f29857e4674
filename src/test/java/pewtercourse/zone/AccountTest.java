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
    void itAddsUpToWhatWasSentByEachLink(@ForAll @IntRange(max = 200) int answers, @ForAll long seed) {
        Random random = new Random(seed);
        Account account = new Account();
        Map<String, Long> link = new HashMap<>();
        for (int i = 0; i < answers; i++) {
            String cls = random.nextBoolean() ? "media" : "page";
            Route route = ROUTES[random.nextInt(ROUTES.length)];
            Use use = Use.values()[random.nextInt(3)];
            long bytes = random.nextInt(240_000);
            if (random.nextInt(4) > 0) {
                account.whole(cls, route, use, bytes);
            } else {
                account.perhaps(cls, route, use, bytes);
            }
            // Hop by hop, as the links would count them.
            boolean outside = route.kind() == Kind.PARENT || route.kind() == Kind.ORIGIN;
            link.merge("link", outside ? bytes : 0, Long::sum);
            for (int hop = 0; outside && hop < route.steps(); hop++) {
                link.merge("step", bytes, Long::sum);
            }
            link.merge("origin", route.kind() == Kind.ORIGIN ? bytes : 0, Long::sum);
        }
        assertEquals(
                new Cost(link.getOrDefault("link", 0L), link.getOrDefault("step", 0L), link.getOrDefault("origin", 0L)),
                account.crossed());
        List<Long> counted = new ArrayList<>();
        account.each(e -> counted.add(e.getValue().answers()));
        assertEquals(answers, counted.stream().mapToLong(n -> n).sum());
    }

    @Example
    void certainAndEstimatedStayApart() {
        Account a = new Account();
        a.whole("page", ROUTES[2], Use.SERVED, 10);
        a.perhaps("page", ROUTES[2], Use.SERVED, 7);
        a.whole("page", ROUTES[2], Use.WASTED, 1);
        List<String> lines = new ArrayList<>();
        a.each(e -> lines.add(e.getKey().use() + " " + e.getValue()));
        assertEquals(
                List.of(
                        "SERVED Sum[answers=2, certain=10, estimated=7]",
                        "WASTED Sum[answers=1, certain=1, estimated=0]"),
                lines);
        assertThrows(IllegalArgumentException.class, () -> a.whole("page", Route.OWN, Use.LATE, -1));
    }

    @Example
    void hubsStandInARing() {
        assertEquals(0, Route.steps(2, 2, 5));
        assertEquals(1, Route.steps(0, 4, 5));
        assertEquals(2, Route.steps(1, 4, 5));
        assertEquals(0, Route.steps(0, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> Route.steps(0, 5, 5));
    }
}
