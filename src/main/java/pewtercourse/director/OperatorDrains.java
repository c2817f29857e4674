package pewtercourse.director;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * The endpoints that operators have drained, whatever the control feed says of them, and when the reinstated
 * ones started. Keyed by name, since a drain outlasts the endpoint's entry in the endpoint list. Opens no
 * sockets; times are Unix milliseconds.
 */
final class OperatorDrains {
    // More names than any endpoint list has; calls with unknown names are rejected earlier.
    private static final int MAX_NAMES = 1_024;

    private final Map<String, Long> drainedSince = new LinkedHashMap<>();
    private final Map<String, Long> listedStartAtDrain = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();
    private final Map<String, Long> listedStartAtReinstatement = new HashMap<>();

    /**
     * Drains an endpoint.
     *
     * @param listedStart the last start time that the control feed gave; 0 if there is none
     * @return false if it is drained already, as a call may be repeated, or if too many are
     */
    boolean drain(String name, long listedStart, long now) {
        boolean drained = drainedSince.size() < MAX_NAMES && drainedSince.putIfAbsent(name, now) == null;
        if (drained) {
            listedStartAtDrain.put(name, listedStart);
        }
        return drained;
    }

    /**
     * Ends the drain of an endpoint, however often it was drained. From then on the endpoint counts as started
     * at the start time that the control feed gave, if it gave a new one during the drain, and otherwise as
     * started now. The times of the control feed and of this process are not compared: their clocks may differ.
     *
     * @param listedStart the last start time that the control feed gave; 0 if there is none
     * @return false if the endpoint was not drained
     */
    boolean reinstate(String name, long listedStart, long now) {
        if (drainedSince.remove(name) == null) {
            return false;
        }
        long startAtDrain = listedStartAtDrain.remove(name);
        boolean restarted = listedStart > 0 && listedStart != startAtDrain;
        recordStart(name, listedStart, restarted ? listedStart : now);
        return true;
    }

    private boolean reinstateAsOf(String name, long listedStart, long start) {
        if (drainedSince.remove(name) == null) {
            return false;
        }
        listedStartAtDrain.remove(name);
        recordStart(name, listedStart, start);
        return true;
    }

    private void recordStart(String name, long listedStart, long start) {
        startedAt.put(name, start);
        listedStartAtReinstatement.put(name, listedStart);
    }

    boolean isDrained(String name) {
        return drainedSince.containsKey(name);
    }

    /**
     * When an endpoint last started: at its reinstatement, or at the start time that the control feed gives, if there was no
     * reinstatement or if the feed has given a new one since then.
     */
    long lastStart(String name, long listedStart) {
        Long reinstatedStart = startedAt.get(name);
        if (reinstatedStart == null) {
            return listedStart;
        }
        if (listedStart > 0 && listedStart != listedStartAtReinstatement.get(name)) {
            forgetStart(name);
            return listedStart;
        }
        return reinstatedStart;
    }

    /** Forgets when a reinstated endpoint started, as the endpoint has left the endpoint list; a drain stays. */
    void forgetStart(String name) {
        startedAt.remove(name);
        listedStartAtReinstatement.remove(name);
    }

    /** The drained endpoints, by name, and since when. */
    Map<String, Long> drained() {
        return drainedSince;
    }

    /** The reinstated endpoints, by name, and when they started. */
    Map<String, Long> reinstated() {
        return startedAt;
    }

    /**
     * Adopts the drains and reinstatements of another process of this director, which the operators called.
     *
     * @param listedStarts the last start time that the control feed gave for an endpoint
     * @return names of the endpoints whose state has changed
     */
    Set<String> adopt(
            Map<String, Long> drained, Map<String, Long> reinstated, ToLongFunction<String> listedStarts, long now) {
        Set<String> changed = new TreeSet<>();
        drained.forEach((name, since) -> {
            if (drain(name, listedStarts.applyAsLong(name), since)) {
                changed.add(name);
            }
        });
        for (String name : Set.copyOf(drainedSince.keySet())) {
            if (!drained.containsKey(name)
                    && reinstateAsOf(name, listedStarts.applyAsLong(name), reinstated.getOrDefault(name, now))) {
                changed.add(name);
            }
        }
        reinstated.forEach((name, started) -> {
            if (!isDrained(name) && startedAt.size() < MAX_NAMES && !startedAt.containsKey(name)) {
                recordStart(name, listedStarts.applyAsLong(name), started);
                changed.add(name);
            }
        });
        return changed;
    }
}
