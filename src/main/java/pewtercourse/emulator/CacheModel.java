package pewtercourse.emulator;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One cache, without sockets: what it can do at once, its warm-up after a start, its fall when it is overloaded cold, what it
 * turns away, and its copies with their ranks and ages. Times in microseconds, work as the time that one transfer takes
 * alone.
 */
public final class CacheModel {
    /**
     * @param bears    transfers at once, warm
     * @param queue    over so many times what it bears now, it turns away
     * @param copies   how many objects it keeps
     * @param coldFrom share of {@code bears} with which it starts
     * @param warmsIn  how long until it is warm, in a line
     * @param multiple over so many times what it bears now, asked for during {@code tipAfter}, it falls while cold
     */
    public record Settings(
            double bears, double queue, int copies, double coldFrom, long warmsIn, double multiple, long tipAfter) {}

    /** What becomes of a request at a modelled cache. */
    public enum Outcome {
        HIT,
        FILL,
        MISS,
        FULL,
        DOWN
    }

    /** {@code takes}: until its answer has been sent, the fill not counted. */
    public record Answer(Outcome outcome, long durationMicros, long bornAtMicros) {}

    private static final class Copy {
        int rank;
        long bornAt;
    }

    private final Settings set;
    private final Map<Long, Copy> copies = new LinkedHashMap<>(64, 0.75f, true);
    private final ArrayDeque<double[]> asked = new ArrayDeque<>(); // While cold: when, and how much work.
    private double askedSum;
    private long startedAt = Long.MIN_VALUE;
    private boolean up = true, fallen;
    private int falls, out;

    /** Warm and empty. */
    public CacheModel(Settings set) {
        this.set = set;
    }

    /** It is gone, and what it kept too. */
    public void kill() {
        up = false;
        copies.clear();
        out = 0;
    }

    /** It starts cold and empty. */
    public void start(long now) {
        up = true;
        fallen = false;
        startedAt = now;
        asked.clear();
        askedSum = 0;
        copies.clear();
        out = 0;
    }

    public boolean isUp() {
        return up && !fallen;
    }

    /** How often it fell. */
    public int coldOverloadCount() {
        return falls;
    }

    public int out() {
        return out;
    }

    /** When it started, 0 for long ago. */
    public long startedAt() {
        return Math.max(0, startedAt);
    }

    public double warmth(long now) {
        if (startedAt == Long.MIN_VALUE || set.warmsIn() <= 0) {
            return 1;
        }
        return Math.min(1, set.coldFrom() + (1 - set.coldFrom()) * (now - startedAt) / set.warmsIn());
    }

    /**
     * A request. {@code fills}: what it lacks may be filled; {@code keep}: the rank at which it is kept, 0 for not at all;
     * {@code oldest}: the oldest copy that will do, 0 for any. Whatever it is given, also what it turns away, adds to the
     * pressure. What it takes on is out until {@link #endTransfer}.
     */
    public Answer handleRequest(long now, long object, long work, boolean fills, int keep, long oldest) {
        if (!isUp()) {
            return new Answer(Outcome.DOWN, 0, 0);
        }
        double bears = set.bears() * warmth(now);
        press(now, work, bears);
        if (fallen) {
            return new Answer(Outcome.DOWN, 0, 0);
        }
        if (out >= set.queue() * bears) {
            return new Answer(Outcome.FULL, 0, 0);
        }
        Copy c = copies.get(object);
        boolean hit = c != null && (oldest == 0 || now - c.bornAt <= oldest);
        if (!hit && !fills) {
            return new Answer(Outcome.MISS, 0, 0);
        }
        out++;
        long takes = (long) (work * Math.max(1, out / bears));
        long born = now;
        if (hit) {
            c.rank = Math.max(c.rank, keep);
            born = c.bornAt;
        } else if (keep > 0) {
            keep(object, keep, now);
        }
        return new Answer(hit ? Outcome.HIT : Outcome.FILL, takes, born);
    }

    private void press(long now, long work, double bears) {
        if (warmth(now) >= 1 || set.tipAfter() <= 0) {
            return;
        }
        asked.addLast(new double[] {now, work});
        askedSum += work;
        while (!asked.isEmpty() && asked.peekFirst()[0] <= now - set.tipAfter()) {
            askedSum -= asked.pollFirst()[1];
        }
        double n = set.multiple() * bears * set.tipAfter();
        // Some slack for chance, as for counts: a few requests more than their mean.
        double mean = askedSum / Math.max(1, asked.size()), count = n / Math.max(1, mean);
        if (asked.size() > count + 3 * Math.sqrt(count) + 3) {
            fallen = true;
            falls++;
            copies.clear();
            out = 0;
        }
    }

    private void keep(long object, int rank, long bornAt) {
        Copy c = copies.get(object);
        if (c == null) {
            if (copies.size() >= set.copies() && !drop(rank)) {
                return;
            }
            c = new Copy();
            copies.put(object, c);
        }
        c.rank = rank;
        c.bornAt = bornAt;
    }

    // The lowest rank first, of these the one not used for longest; nothing for a copy of lower rank.
    private boolean drop(int forRank) {
        Long victim = null;
        int lowest = forRank + 1, looked = 0;
        for (Iterator<Map.Entry<Long, Copy>> i = copies.entrySet().iterator(); i.hasNext() && looked < 64; looked++) {
            Map.Entry<Long, Copy> e = i.next();
            if (e.getValue().rank < lowest) {
                lowest = e.getValue().rank;
                victim = e.getKey();
            }
        }
        return victim != null && copies.remove(victim) != null;
    }

    /** Copies from before this are void. */
    public void discardCopies() {
        copies.clear();
    }

    /** One that it had taken on has ended. */
    public void endTransfer() {
        out = Math.max(0, out - 1);
    }
}
