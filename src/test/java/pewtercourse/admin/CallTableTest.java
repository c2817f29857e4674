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

/** Callers that come, finish or stay silent in any order, against a list of who may still be there. */
class CallTableTest {
    @Property(tries = 300, seed = "7")
    void theOldestMakeRoomAndNoWaitIsLeft(@ForAll List<@IntRange(max = 5) Integer> steps) {
        TreeMap<Long, Runnable> timers = new TreeMap<>();
        List<Integer> model = new ArrayList<>(), closed = new ArrayList<>();
        CallTable<Integer> table = new CallTable<>(
                new Timers() {
                    private long next;

                    @Override
                    public long set(long delayMs, Runnable then) {
                        timers.put(++next, then);
                        return next;
                    }

                    @Override
                    public void cancel(long timer) {
                        timers.remove(timer);
                    }
                },
                closed::add);
        int serial = 0;
        for (int s : steps) {
            int expected = closed.size();
            if (s > 1) {
                if (model.size() == CallTable.MOST) {
                    expected++;
                    model.remove(0);
                }
                model.add(serial);
                table.opened(serial++);
            } else if (!model.isEmpty() && s == 1) {
                table.ended(model.remove(model.size() / 2)); // It finished its call, or left.
            } else if (!model.isEmpty()) {
                timers.pollFirstEntry().getValue().run(); // It was silent for too long.
                assertEquals(model.remove(0), closed.get(closed.size() - 1));
                expected++;
            }
            assertEquals(expected, closed.size());
            assertEquals(model.size(), table.size());
            assertEquals(model.size(), timers.size(), "one wait for each caller");
            assertTrue(table.size() <= CallTable.MOST);
            model.forEach(c -> assertFalse(closed.contains(c)));
        }
    }
}
