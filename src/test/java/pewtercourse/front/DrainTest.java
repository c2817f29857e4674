package pewtercourse.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pewtercourse.front.Drain.Cause;
import pewtercourse.front.Drain.Step;

class DrainTest {
    // What comes in the last 2 s of the 4 s after the call must not be held then, nor may anything idle.
    @Example
    void aStandbyRefusesBeforeTheLastTwoSecondsBegin() {
        Drain d = new Drain();
        d.begin(Cause.STANDBY, 5_000_000);
        assertEquals(Step.OPEN, d.step(5_300_000), "new connections still come");
        assertEquals(Step.REFUSE, d.step(6_900_000));
        d.begin(Cause.STANDBY, 6_900_000);
        assertEquals(Step.REFUSE, d.step(6_900_000), "a second call doesn't begin anew");
        d.end(Cause.STANDBY);
        assertEquals(Step.OPEN, d.step(6_900_000));
    }

    @Example
    void aShutdownServesAsEverUntilItsCutOffAndRefusesFromThenOn() {
        Drain d = new Drain();
        d.begin(Cause.SHUTDOWN, 1_000_000);
        assertEquals(Step.OPEN, d.step(1_749_999));
        assertEquals(750, d.nextMs(1_000_000));
        assertEquals(Step.REFUSE, d.step(1_750_000));
        assertEquals(-1, d.nextMs(1_750_000));
    }

    @Property(tries = 300, seed = "7")
    void whoWaitsForTheNextStepMissesNone(
            @ForAll List<@IntRange(max = 6) Integer> calls, @ForAll @IntRange(min = 1, max = 900) int pauseMs) {
        Drain d = new Drain();
        long now = 1_000_000;
        Step last = Step.OPEN;
        for (int call : calls) {
            Cause cause = Cause.values()[call % 3];
            if (call < 3) {
                d.begin(cause, now);
            } else if (call < 6) {
                d.end(cause);
                last = Step.OPEN;
            }
            for (long next = d.nextMs(now), end = now + pauseMs * 1000L;
                    next > 0 && now + next * 1000 <= end;
                    next = d.nextMs(now)) {
                Step before = d.step(now + next * 1000 - 1_001);
                assertEquals(d.step(now), before, "it changed while nobody looked");
                now += next * 1000;
            }
            assertTrue(d.step(now).compareTo(last) >= 0, "it goes back only when a cause ends");
            last = d.step(now);
            now += 1_000;
        }
    }
}
