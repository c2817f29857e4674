package pewtercourse.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates a baseline for {@link ClusterSim}: members send a heartbeat every 50 ms, and a member holds the duty if it receives
 * heartbeats from no member of a lower number. The virtual clock advances in steps of one millisecond.
 */
final class RankSim {
    private static final int HEARTBEAT_INTERVAL_MS = 50;
    private static final int HEARTBEAT_TIMEOUT_MS = 300;

    private record Heartbeat(long arrivesAtMs, int from, int to) {}

    private final Random random;
    private final long[][] lastHeartbeatMs; // By receiver and sender.
    private final boolean[] up;
    private final boolean[] paused;
    private final boolean[][] linkCut;
    private final List<Heartbeat> inTransit = new ArrayList<>();
    private final int[] heartbeatPhaseMs;
    long nowMs;

    RankSim(long seed, int memberCount) {
        random = new Random(seed);
        lastHeartbeatMs = new long[memberCount][memberCount];
        up = new boolean[memberCount];
        paused = new boolean[memberCount];
        linkCut = new boolean[memberCount][memberCount];
        heartbeatPhaseMs = random.ints(memberCount, 0, HEARTBEAT_INTERVAL_MS).toArray();
        java.util.Arrays.fill(up, true);
    }

    /** Advances the simulation by one millisecond. */
    void step() {
        nowMs++;
        for (int i = 0; i < up.length; i++) {
            if (up[i] && !paused[i] && nowMs % HEARTBEAT_INTERVAL_MS == heartbeatPhaseMs[i]) {
                for (int j = 0; j < up.length; j++) {
                    inTransit.add(new Heartbeat(nowMs + 1 + random.nextInt(3), i, j));
                }
            }
        }
        inTransit.removeIf(heartbeat -> {
            boolean due = heartbeat.arrivesAtMs() <= nowMs;
            if (due && !linkCut[heartbeat.from()][heartbeat.to()]) {
                lastHeartbeatMs[heartbeat.to()][heartbeat.from()] = nowMs;
            }
            return due;
        });
    }

    /** Returns whether a living member considers itself the holder, by the last heartbeats that were delivered to it. */
    boolean considersItselfHolder(int i) {
        if (!up[i]) {
            return false;
        }
        for (int j = 0; j < i; j++) {
            if (nowMs - lastHeartbeatMs[i][j] <= HEARTBEAT_TIMEOUT_MS) {
                return false;
            }
        }
        return true;
    }

    void kill(int i) {
        up[i] = false;
    }

    void setPaused(int i, boolean isPaused) {
        paused[i] = isPaused;
    }

    void isolate(int i) {
        for (int j = 0; j < up.length; j++) {
            linkCut[i][j] = i != j;
            linkCut[j][i] = i != j;
        }
    }

    int memberCount() {
        return up.length;
    }
}
