package pewtercourse.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pewtercourse.front.Drain.Cause;
import pewtercourse.front.Drain.Stage;

class DrainTest {
    // 4 s after the call, nothing that arrived in the last 2 s may be open, and no idle connection either.
    @Example
    void standbyRefusesRequestsBeforeTheLastTwoSecondsBegin() {
        Drain drain = new Drain();
        drain.begin(Cause.STANDBY, 5_000_000);
        assertEquals(Stage.OPEN, drain.stageAt(5_300_000), "clients still open new connections");
        assertEquals(Stage.REFUSE, drain.stageAt(6_900_000));
        drain.begin(Cause.STANDBY, 6_900_000);
        assertEquals(Stage.REFUSE, drain.stageAt(6_900_000), "a second call does not restart the drain");
        drain.end(Cause.STANDBY);
        assertEquals(Stage.OPEN, drain.stageAt(6_900_000));
    }

    @Example
    void shutdownServesUntilItsCutOffAndRefusesAfterwards() {
        Drain drain = new Drain();
        drain.begin(Cause.SHUTDOWN, 1_000_000);
        assertEquals(Stage.OPEN, drain.stageAt(1_649_999));
        assertEquals(650, drain.millisUntilNextStage(1_000_000));
        assertEquals(Stage.REFUSE, drain.stageAt(1_650_000));
        assertEquals(-1, drain.millisUntilNextStage(1_650_000));
    }

    @Property(tries = 300, seed = "7")
    void noStageChangesBetweenTheReportedTimes(
            @ForAll List<@IntRange(max = 6) Integer> calls, @ForAll @IntRange(min = 1, max = 900) int pauseMs) {
        Drain drain = new Drain();
        long nowMicros = 1_000_000;
        Stage lastStage = Stage.OPEN;
        for (int call : calls) {
            Cause cause = Cause.values()[call % 3];
            if (call < 3) {
                drain.begin(cause, nowMicros);
            } else if (call < 6) {
                drain.end(cause);
                lastStage = Stage.OPEN;
            }
            for (long nextMs = drain.millisUntilNextStage(nowMicros), endMicros = nowMicros + pauseMs * 1000L;
                    nextMs > 0 && nowMicros + nextMs * 1000 <= endMicros;
                    nextMs = drain.millisUntilNextStage(nowMicros)) {
                Stage stageJustBefore = drain.stageAt(Math.max(nowMicros, nowMicros + nextMs * 1000 - 1_001));
                assertEquals(drain.stageAt(nowMicros), stageJustBefore, "the stage changed before the reported time");
                nowMicros += nextMs * 1000;
            }
            assertTrue(
                    drain.stageAt(nowMicros).compareTo(lastStage) >= 0, "the stage goes back only when a cause ends");
            lastStage = drain.stageAt(nowMicros);
            nowMicros += 1_000;
        }
    }
}
