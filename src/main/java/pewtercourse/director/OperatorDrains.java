package pewtercourse.director;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators have drained, whatever the control feed says of them, and when the reinstated
 * ones started. Keyed by name, since a drain outlasts the endpoint's entry in the endpoint list. Opens no
 * sockets; times are Unix milliseconds.
 */
final class OperatorDrains {
    // More names than any endpoint list has; calls with unknown names are rejected earlier.
    private static final int MAX_NAMES = 1_024;

    private final Map<String, Long> drainedSince = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    /** Drains an endpoint; false if it is drained already, as a call may be repeated, or if too many are. */
    boolean drain(String name, long now) {
        return drainedSince.size() < MAX_NAMES && drainedSince.putIfAbsent(name, now) == null;
    }

    /**
     * Ends the drain of an endpoint, however often it was drained. From then on the endpoint counts as started
     * at the start time that the control feed gave, if that lies within the drain, and otherwise as started
     * now.
     *
     * @param listedStart the last start time that the control feed gave; 0 if there is none
     * @return false if the endpoint was not drained
     */
    boolean reinstate(String name, long listedStart, long now) {
        Long since = drainedSince.remove(name);
        if (since == null) {
            return false;
        }
        startedAt.put(name, listedStart >= since ? listedStart : now);
        return true;
    }

    boolean isDrained(String name) {
        return drainedSince.containsKey(name);
    }

    /**
     * When an endpoint last started: the start time that the control feed gives, but not before its
     * reinstatement.
     */
    long lastStart(String name, long listedStart) {
        long reinstatedStart = startedAt.getOrDefault(name, 0L);
        if (reinstatedStart > 0 && listedStart >= reinstatedStart) {
            startedAt.remove(name); // The control feed knows a later start.
        }
        return Math.max(listedStart, reinstatedStart);
    }

    /** Forgets when a reinstated endpoint started, as the endpoint has left the endpoint list; a drain stays. */
    void forgetStart(String name) {
        startedAt.remove(name);
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
     * @return names of the endpoints whose state has changed
     */
    Set<String> adopt(Map<String, Long> drained, Map<String, Long> reinstated, long now) {
        Set<String> changed = new TreeSet<>();
        drained.forEach((name, since) -> {
            if (drain(name, since)) {
                changed.add(name);
            }
        });
        for (String name : Set.copyOf(drainedSince.keySet())) {
            if (!drained.containsKey(name) && reinstate(name, 0, reinstated.getOrDefault(name, now))) {
                changed.add(name);
            }
        }
        reinstated.forEach((name, started) -> {
            if (!isDrained(name) && startedAt.size() < MAX_NAMES && startedAt.putIfAbsent(name, started) == null) {
                changed.add(name);
            }
        });
        return changed;
    }
}
