package pewtercourse.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import pewtercourse.zone.Budget.Bound;
import pewtercourse.zone.Budget.ClassBudget;

/** Reservations, settlements, reloads and steps of the clock in any order, against what may cross by the budget. */
class LedgerModelTest {
    private static final String[] CLASSES = {"media", "page", "order"};

    private static Budget budget(long rate, long burst) {
        return new Budget(
                Map.of(Crossing.LINK, new Bound(rate, burst)),
                Map.of(
                        "media",
                        new ClassBudget(Map.of(Crossing.LINK, new Bound(rate / 2, burst)), 0, false),
                        "order",
                        new ClassBudget(Map.of(), 0, true)));
    }

    private static Cost link(long bytes) {
        return Cost.ofFill(bytes, 0, false);
    }

    private record Out(Ledger.Reservation r, long bytes, boolean media) {}

    // Deep in debt no bucket is ever full, so that each token that came and went must be found again, to the millionth.
    @Property(tries = 500, seed = "7")
    void noTokenIsMadeOrLost(@ForAll @Size(max = 60) List<@IntRange(max = 6) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        long now = 1_000, most = now, rate = 1 + random.nextInt(1_000_000), burst = Budget.BURST_MOST;
        Ledger ledger = new Ledger(budget(rate, burst), now);
        BigInteger all = BigInteger.valueOf(burst).multiply(BigInteger.valueOf(Ledger.PARTS)), media = all;
        Ledger.Reservation debt = ledger.reserve(now, "media", link(0));
        long depth = 2 * burst;
        ledger.settle(now, debt, link(depth));
        all = all.subtract(BigInteger.valueOf(depth * Ledger.PARTS));
        media = media.subtract(BigInteger.valueOf(depth * Ledger.PARTS));
        List<Out> out = new ArrayList<>();
        List<Ledger.Reservation> over = new ArrayList<>();
        for (int step : steps) {
            now += step == 5 ? -random.nextInt(5_000_000) : random.nextInt(1_000_000);
            long came = Math.max(0, now - most);
            most = Math.max(most, now);
            all = all.add(BigInteger.valueOf(rate).multiply(BigInteger.valueOf(came)));
            media = media.add(BigInteger.valueOf(rate / 2).multiply(BigInteger.valueOf(came)));
            long bytes = random.nextInt(1 << 20);
            if (step <= 1) {
                assertNull(ledger.reserve(now, CLASSES[random.nextInt(2)], link(1 + bytes)), "in debt");
                // Orders are never turned away; they are charged all the same.
                out.add(new Out(ledger.reserve(now, "order", link(bytes)), bytes, false));
                all = all.subtract(BigInteger.valueOf(bytes * Ledger.PARTS));
            } else if (step <= 3 && !out.isEmpty()) {
                Out o = out.remove(random.nextInt(out.size()));
                long actual = step == 2 ? 29L * bytes : 0;
                if (step == 2) {
                    ledger.settle(now, o.r, link(actual));
                } else {
                    ledger.cancel(now, o.r);
                }
                all = all.add(BigInteger.valueOf((o.bytes - actual) * Ledger.PARTS));
                over.add(o.r);
            } else if (step == 4 && !over.isEmpty()) {
                ledger.settle(now, over.get(random.nextInt(over.size())), link(bytes)); // Ended already.
            } else if (step == 6) {
                rate = 1 + random.nextInt(1_000_000);
                ledger.reload(now, budget(rate, burst));
            } else {
                ledger.left(now, null, Crossing.LINK);
            }
            ledger.left(now, null, Crossing.LINK); // Brings it to this time.
            assertEquals(
                    all, BigInteger.valueOf(ledger.bucket(null, Crossing.LINK).level()));
            assertEquals(
                    media,
                    BigInteger.valueOf(ledger.bucket("media", Crossing.LINK).level()));
        }
    }

    @Property(tries = 500, seed = "7")
    void whatCrossesStaysWithinBurstAndRate(
            @ForAll @Size(max = 80) List<@IntRange(max = 4) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        long now = 1_000, rate = 1 + random.nextInt(100_000), burst = 1 + random.nextInt(100_000);
        Ledger ledger = new Ledger(budget(rate, burst), now);
        List<Out> out = new ArrayList<>();
        long crossed = 0; // What came of fills that have ended, and what those that are out may yet bring.
        for (int step : steps) {
            now += random.nextInt(400_000);
            if (step <= 2) {
                long bytes = random.nextInt((int) burst + 1);
                Ledger.Reservation r = ledger.reserve(now, "page", link(bytes));
                if (r != null) {
                    out.add(new Out(r, bytes, false));
                    crossed += bytes;
                } else {
                    assertTrue(ledger.left(now, null, Crossing.LINK) < bytes, "refused, and it had room");
                }
            } else if (!out.isEmpty()) {
                Out o = out.remove(random.nextInt(out.size()));
                long came = step == 3 ? o.bytes : random.nextInt((int) o.bytes + 1);
                ledger.settle(now, o.r, link(came));
                crossed += came - o.bytes;
            }
            assertTrue(crossed * Ledger.PARTS <= burst * Ledger.PARTS + rate * (now - 1_000), "more than was allowed");
        }
    }

    @Example
    void oneLargerThanTheBurstGoesOnceTheBucketIsFullAndIsPaidBack() {
        Ledger l = new Ledger(new Budget(Map.of(Crossing.LINK, new Bound(100, 1_000)), Map.of()), 0);
        Ledger.Reservation r = l.reserve(0, "media", link(29_000));
        assertNotNull(r, "else it could never be served");
        l.settle(0, r, link(29_000));
        assertEquals(-28_000, l.left(0, null, Crossing.LINK));
        assertFalse(l.affords(279_000_000, "page", link(1)), "its debt is not paid yet");
        assertTrue(l.affords(281_000_000, "page", link(1)));
    }

    @Example
    void aClassLeavesItsShareToThoseOfHigherPriority() {
        Ledger l = new Ledger(
                new Budget(
                        Map.of(Crossing.ORIGIN, new Bound(0, 1_000)),
                        Map.of("page", new ClassBudget(Map.of(), 0.5, false))),
                0);
        assertNotNull(l.reserve(0, "media", Cost.ofFill(300, 0, true)));
        assertNotNull(l.reserve(0, "page", Cost.ofFill(100, 0, true)), "700 left, and 550 have to be");
        assertNotNull(l.reserve(0, "page", Cost.ofFill(100, 0, true)), "600 left");
        assertNull(l.reserve(0, "page", Cost.ofFill(100, 0, true)), "500 left, 550 needed for itself and the others");
        assertNotNull(l.reserve(0, "media", Cost.ofFill(500, 0, true)));
    }

    @Example
    void aSmallerBudgetBindsAtOnceAlsoForWhatIsUnderWay() {
        Ledger l = new Ledger(budget(1_000, 100_000), 0);
        Ledger.Reservation r = l.reserve(0, "page", link(60_000));
        l.reload(0, budget(1_000, 10_000));
        assertEquals(10_000, l.left(0, null, Crossing.LINK));
        l.settle(0, r, link(100_000)); // It brought more than was thought.
        assertEquals(-30_000, l.left(0, null, Crossing.LINK));
        l.reload(0, budget(1_000, 1_000_000));
        assertEquals(-30_000, l.left(0, null, Crossing.LINK), "a debt outlasts the budget it was made under");
    }

    @Example
    void aBoundThatCameMeanwhileGivesNothingBack() {
        Ledger l = new Ledger(new Budget(Map.of(), Map.of()), 0);
        Ledger.Reservation r = l.reserve(0, "page", link(60_000));
        l.reload(0, new Budget(Map.of(Crossing.LINK, new Bound(0, 1_000)), Map.of()));
        assertNotNull(l.reserve(0, "page", link(700)));
        l.cancel(0, r);
        assertEquals(300, l.left(0, null, Crossing.LINK));
    }

    @Example
    void stepsOfTheHubsCountEach() {
        Ledger l = new Ledger(new Budget(Map.of(Crossing.HUB_STEP, new Bound(0, 1_000)), Map.of()), 0);
        assertNotNull(l.reserve(0, "page", Cost.ofFill(500, 0, false)), "from the own hub nothing of it is used");
        assertNotNull(l.reserve(0, "page", Cost.ofFill(500, 2, false)));
        assertNull(l.reserve(0, "page", Cost.ofFill(1, 1, false)));
    }

    @Example
    void aClockThatLeapsFillsABucketOnce() {
        Ledger l = new Ledger(budget(Budget.RATE_MOST, Budget.BURST_MOST), 0);
        l.settle(0, l.reserve(0, "page", link(Budget.BURST_MOST)), link(Budget.BURST_MOST));
        assertEquals(Budget.BURST_MOST, l.left(Long.MAX_VALUE / 4, null, Crossing.LINK));
    }

    @Example
    void aBudgetWithMistakenUnitsIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Bound(-1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Bound(1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Bound(Budget.RATE_MOST + 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new ClassBudget(Map.of(), 1.5, false));
        assertThrows(IllegalArgumentException.class, () -> new ClassBudget(Map.of(), Double.NaN, false));
        assertThrows(IllegalArgumentException.class, () -> Cost.ofFill(-1, 0, false));
    }
}
