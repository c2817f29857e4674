package pewtercourse.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pewtercourse.Timers;

/** Compares the table with a list of the open connections while callers connect, finish or stay silent in any order. */
class CallTableTest {
    @Property(tries = 300, seed = "7")
    void closesTheOldestConnectionsWhenFullAndLeavesNoTimerBehind(@ForAll List<@IntRange(max = 5) Integer> steps) {
        TreeMap<Long, Runnable> timers = new TreeMap<>();
        List<Integer> expectedOpen = new ArrayList<>();
        List<Integer> closed = new ArrayList<>();
        CallTable<Integer> table = new CallTable<>(
                new Timers() {
                    private long lastTimer;

                    @Override
                    public long set(long delayMs, Runnable callback) {
                        timers.put(++lastTimer, callback);
                        return lastTimer;
                    }

                    @Override
                    public void cancel(long timer) {
                        timers.remove(timer);
                    }
                },
                closed::add);
        int nextConnection = 0;
        for (int step : steps) {
            int expectedClosedCount = closed.size();
            if (step > 1) {
                if (expectedOpen.size() == CallTable.MAX_CONNECTIONS) {
                    expectedClosedCount++;
                    expectedOpen.remove(0);
                }
                expectedOpen.add(nextConnection);
                table.onOpened(nextConnection++);
            } else if (!expectedOpen.isEmpty() && step == 1) {
                table.onClosed(expectedOpen.remove(expectedOpen.size() / 2)); // Finished its call, or closed.
            } else if (!expectedOpen.isEmpty()) {
                timers.pollFirstEntry().getValue().run(); // Timed out.
                assertEquals(expectedOpen.remove(0), closed.get(closed.size() - 1));
                expectedClosedCount++;
            }
            assertEquals(expectedClosedCount, closed.size());
            assertEquals(expectedOpen.size(), table.size());
            assertEquals(expectedOpen.size(), timers.size(), "one timer for each connection");
            assertTrue(table.size() <= CallTable.MAX_CONNECTIONS);
            expectedOpen.forEach(connection -> assertFalse(closed.contains(connection)));
        }
    }
}
