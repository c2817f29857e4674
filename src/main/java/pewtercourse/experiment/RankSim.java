package pewtercourse.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A baseline: members say every 50 ms that they are there, and whoever is the first by rank of those it hears holds the
 * duty. The same links as in {@link ClusterSim}, on the same virtual clock, in steps of a millisecond.
 */
final class RankSim {
    private static final int BEAT_MS = 50, ALIVE_MS = 300;

    private record Beat(long at, int from, int to) {}

    private final Random random;
    private final long[][] heard; // By listener and speaker: when last.
    private final boolean[] up, still;
    private final boolean[][] cut;
    private final List<Beat> under = new ArrayList<>();
    private final int[] phase;
    long now;

    RankSim(long seed, int members) {
        random = new Random(seed);
        heard = new long[members][members];
        up = new boolean[members];
        still = new boolean[members];
        cut = new boolean[members][members];
        phase = random.ints(members, 0, BEAT_MS).toArray();
        java.util.Arrays.fill(up, true);
    }

    /** One more millisecond. */
    void step() {
        now++;
        for (int i = 0; i < up.length; i++) {
            if (up[i] && !still[i] && now % BEAT_MS == phase[i]) {
                for (int j = 0; j < up.length; j++) {
                    under.add(new Beat(now + 1 + random.nextInt(3), i, j));
                }
            }
        }
        under.removeIf(b -> {
            boolean due = b.at() <= now;
            if (due && !cut[b.from()][b.to()]) {
                heard[b.to()][b.from()] = now;
            }
            return due;
        });
    }

    /** Whether it takes itself to hold the duty; one that stands still believes what it last knew. */
    boolean holds(int i) {
        if (!up[i]) {
            return false;
        }
        for (int j = 0; j < i; j++) {
            if (now - heard[i][j] <= ALIVE_MS) {
                return false;
            }
        }
        return true;
    }

    void kill(int i) {
        up[i] = false;
    }

    void stand(int i, boolean on) {
        still[i] = on;
    }

    void cutOff(int i) {
        for (int j = 0; j < up.length; j++) {
            cut[i][j] = i != j;
            cut[j][i] = i != j;
        }
    }

    int members() {
        return up.length;
    }
}
