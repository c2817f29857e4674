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

/** Checks the ledger against its budget with reservations, settlements, reloads and clock steps in random order. */
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

    private record OpenFill(Ledger.Reservation reservation, long bytes, boolean media) {}

    // A bucket that is deep in debt is never full, so each token must be accounted for, to the millionth.
    @Property(tries = 500, seed = "7")
    void neitherCreatesNorLosesTokens(@ForAll @Size(max = 60) List<@IntRange(max = 6) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        long now = 1_000;
        long latest = now;
        long rate = 1 + random.nextInt(1_000_000);
        long burst = Budget.MAX_BURST_BYTES;
        Ledger ledger = new Ledger(budget(rate, burst), now);
        BigInteger commonLevel = BigInteger.valueOf(burst).multiply(BigInteger.valueOf(Ledger.UNITS_PER_BYTE));
        BigInteger mediaLevel = commonLevel;
        Ledger.Reservation debt = ledger.reserve(now, "media", link(0));
        long debtBytes = 2 * burst;
        ledger.settle(now, debt, link(debtBytes));
        commonLevel = commonLevel.subtract(BigInteger.valueOf(debtBytes * Ledger.UNITS_PER_BYTE));
        mediaLevel = mediaLevel.subtract(BigInteger.valueOf(debtBytes * Ledger.UNITS_PER_BYTE));
        List<OpenFill> openFills = new ArrayList<>();
        List<Ledger.Reservation> ended = new ArrayList<>();
        for (int step : steps) {
            now += step == 5 ? -random.nextInt(5_000_000) : random.nextInt(1_000_000);
            long elapsed = Math.max(0, now - latest);
            latest = Math.max(latest, now);
            commonLevel = commonLevel.add(BigInteger.valueOf(rate).multiply(BigInteger.valueOf(elapsed)));
            mediaLevel = mediaLevel.add(BigInteger.valueOf(rate / 2).multiply(BigInteger.valueOf(elapsed)));
            long bytes = random.nextInt(1 << 20);
            if (step <= 1) {
                assertNull(ledger.reserve(now, CLASSES[random.nextInt(2)], link(1 + bytes)), "in debt");
                // Orders are never rejected, but they are charged.
                openFills.add(new OpenFill(ledger.reserve(now, "order", link(bytes)), bytes, false));
                commonLevel = commonLevel.subtract(BigInteger.valueOf(bytes * Ledger.UNITS_PER_BYTE));
            } else if (step <= 3 && !openFills.isEmpty()) {
                OpenFill fill = openFills.remove(random.nextInt(openFills.size()));
                long actual = step == 2 ? 29L * bytes : 0;
                if (step == 2) {
                    ledger.settle(now, fill.reservation, link(actual));
                } else {
                    ledger.cancel(now, fill.reservation);
                }
                commonLevel = commonLevel.add(BigInteger.valueOf((fill.bytes - actual) * Ledger.UNITS_PER_BYTE));
                ended.add(fill.reservation);
            } else if (step == 4 && !ended.isEmpty()) {
                ledger.settle(now, ended.get(random.nextInt(ended.size())), link(bytes)); // It has already ended.
            } else if (step == 6) {
                rate = 1 + random.nextInt(1_000_000);
                ledger.reload(now, budget(rate, burst));
            } else {
                ledger.remainingBytes(now, null, Crossing.LINK);
            }
            ledger.remainingBytes(now, null, Crossing.LINK); // Refills the buckets up to now.
            assertEquals(
                    commonLevel, BigInteger.valueOf(ledger.bucket(null, Crossing.LINK).level()));
            assertEquals(
                    mediaLevel,
                    BigInteger.valueOf(ledger.bucket("media", Crossing.LINK).level()));
        }
    }

    @Property(tries = 500, seed = "7")
    void crossedBytesStayWithinBurstAndRate(
            @ForAll @Size(max = 80) List<@IntRange(max = 4) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        long now = 1_000;
        long rate = 1 + random.nextInt(100_000);
        long burst = 1 + random.nextInt(100_000);
        Ledger ledger = new Ledger(budget(rate, burst), now);
        List<OpenFill> openFills = new ArrayList<>();
        long crossed = 0; // The bytes of ended fills and the estimates of open ones.
        for (int step : steps) {
            now += random.nextInt(400_000);
            if (step <= 2) {
                long bytes = random.nextInt((int) burst + 1);
                Ledger.Reservation reservation = ledger.reserve(now, "page", link(bytes));
                if (reservation != null) {
                    openFills.add(new OpenFill(reservation, bytes, false));
                    crossed += bytes;
                } else {
                    assertTrue(ledger.remainingBytes(now, null, Crossing.LINK) < bytes, "rejected although the budget was sufficient");
                }
            } else if (!openFills.isEmpty()) {
                OpenFill fill = openFills.remove(random.nextInt(openFills.size()));
                long actual = step == 3 ? fill.bytes : random.nextInt((int) fill.bytes + 1);
                ledger.settle(now, fill.reservation, link(actual));
                crossed += actual - fill.bytes;
            }
            assertTrue(crossed * Ledger.UNITS_PER_BYTE <= burst * Ledger.UNITS_PER_BYTE + rate * (now - 1_000), "more bytes crossed than the budget allows");
        }
    }

    @Example
    void sendsAFillLargerThanTheBurstWhenTheBucketIsFullAndChargesADebt() {
        Ledger ledger = new Ledger(new Budget(Map.of(Crossing.LINK, new Bound(100, 1_000)), Map.of()), 0);
        Ledger.Reservation reservation = ledger.reserve(0, "media", link(29_000));
        assertNotNull(reservation, "otherwise it could never be served");
        ledger.settle(0, reservation, link(29_000));
        assertEquals(-28_000, ledger.remainingBytes(0, null, Crossing.LINK));
        assertFalse(ledger.affords(279_000_000, "page", link(1)), "the debt is not paid yet");
        assertTrue(ledger.affords(281_000_000, "page", link(1)));
    }

    @Example
    void aClassLeavesItsShareToClassesOfHigherPriority() {
        Ledger ledger = new Ledger(
                new Budget(
                        Map.of(Crossing.ORIGIN, new Bound(0, 1_000)),
                        Map.of("page", new ClassBudget(Map.of(), 0.5, false))),
                0);
        assertNotNull(ledger.reserve(0, "media", Cost.ofFill(300, 0, true)));
        assertNotNull(ledger.reserve(0, "page", Cost.ofFill(100, 0, true)), "700 remain and 550 are needed");
        assertNotNull(ledger.reserve(0, "page", Cost.ofFill(100, 0, true)), "600 remain");
        assertNull(ledger.reserve(0, "page", Cost.ofFill(100, 0, true)), "500 remain and 550 are needed, with the share left to others");
        assertNotNull(ledger.reserve(0, "media", Cost.ofFill(500, 0, true)));
    }

    @Example
    void aSmallerBudgetTakesEffectImmediatelyAlsoForFillsInFlight() {
        Ledger ledger = new Ledger(budget(1_000, 100_000), 0);
        Ledger.Reservation reservation = ledger.reserve(0, "page", link(60_000));
        ledger.reload(0, budget(1_000, 10_000));
        assertEquals(10_000, ledger.remainingBytes(0, null, Crossing.LINK));
        ledger.settle(0, reservation, link(100_000)); // More bytes crossed than estimated.
        assertEquals(-30_000, ledger.remainingBytes(0, null, Crossing.LINK));
        ledger.reload(0, budget(1_000, 1_000_000));
        assertEquals(-30_000, ledger.remainingBytes(0, null, Crossing.LINK), "a debt remains after a change of the budget");
    }

    @Example
    void cancellingReturnsNoTokensToABoundAddedSinceTheReservation() {
        Ledger ledger = new Ledger(new Budget(Map.of(), Map.of()), 0);
        Ledger.Reservation reservation = ledger.reserve(0, "page", link(60_000));
        ledger.reload(0, new Budget(Map.of(Crossing.LINK, new Bound(0, 1_000)), Map.of()));
        assertNotNull(ledger.reserve(0, "page", link(700)));
        ledger.cancel(0, reservation);
        assertEquals(300, ledger.remainingBytes(0, null, Crossing.LINK));
    }

    @Example
    void chargesEachHubStep() {
        Ledger ledger = new Ledger(new Budget(Map.of(Crossing.HUB_STEP, new Bound(0, 1_000)), Map.of()), 0);
        assertNotNull(ledger.reserve(0, "page", Cost.ofFill(500, 0, false)), "a fill from the hub of the zone uses no hub steps");
        assertNotNull(ledger.reserve(0, "page", Cost.ofFill(500, 2, false)));
        assertNull(ledger.reserve(0, "page", Cost.ofFill(1, 1, false)));
    }

    @Example
    void aForwardClockJumpFillsABucketOnlyToItsBurst() {
        Ledger ledger = new Ledger(budget(Budget.MAX_BYTES_PER_S, Budget.MAX_BURST_BYTES), 0);
        ledger.settle(0, ledger.reserve(0, "page", link(Budget.MAX_BURST_BYTES)), link(Budget.MAX_BURST_BYTES));
        assertEquals(Budget.MAX_BURST_BYTES, ledger.remainingBytes(Long.MAX_VALUE / 4, null, Crossing.LINK));
    }

    @Example
    void rejectsABudgetWithValuesOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> new Bound(-1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Bound(1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Bound(Budget.MAX_BYTES_PER_S + 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new ClassBudget(Map.of(), 1.5, false));
        assertThrows(IllegalArgumentException.class, () -> new ClassBudget(Map.of(), Double.NaN, false));
        assertThrows(IllegalArgumentException.class, () -> Cost.ofFill(-1, 0, false));
    }
}
