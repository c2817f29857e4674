package pewtercourse.director;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The members that operators have taken out, whatever the feed says of them in between, and when those that came back
 * started. By name, as a ban outlasts the member's line in the list. Knows no sockets; times are Unix milliseconds.
 */
final class OperatorDrains {
    // More names than any list has: calls with made-up names are turned away before.
    private static final int MOST = 1_024;

    private final Map<String, Long> since = new LinkedHashMap<>();
    private final Map<String, Long> started = new HashMap<>();

    /** False if nothing changes: a call may come twice. */
    boolean enter(String name, long now) {
        return since.size() < MOST && since.putIfAbsent(name, now) == null;
    }

    /**
     * One call back ends it, however often it was taken out. {@code told}: the start that the feed last told; one
     * during the ban is believed, else it is taken to have started just now. False if it was not out.
     */
    boolean exit(String name, long told, long now) {
        Long out = since.remove(name);
        if (out == null) {
            return false;
        }
        started.put(name, told >= out ? told : now);
        return true;
    }

    boolean isOut(String name) {
        return since.containsKey(name);
    }

    /** When it last started: as the feed tells, but no earlier than its return. */
    long started(String name, long told) {
        long returned = started.getOrDefault(name, 0L);
        if (returned > 0 && told >= returned) {
            started.remove(name); // The feed knows of a later one.
        }
        return Math.max(told, returned);
    }

    /** It has left the list for good or will be told anew; a ban stays. */
    void forget(String name) {
        started.remove(name);
    }

    Map<String, Long> out() {
        return since;
    }

    Map<String, Long> back() {
        return started;
    }

    /** Another process of this director was told: its word counts. Returns whose state has changed. */
    Set<String> follow(Map<String, Long> out, Map<String, Long> back, long now) {
        Set<String> changed = new TreeSet<>();
        out.forEach((name, at) -> {
            if (enter(name, at)) {
                changed.add(name);
            }
        });
        for (String name : Set.copyOf(since.keySet())) {
            if (!out.containsKey(name) && exit(name, 0, back.getOrDefault(name, now))) {
                changed.add(name);
            }
        }
        back.forEach((name, at) -> {
            if (!isOut(name) && started.size() < MOST && started.putIfAbsent(name, at) == null) {
                changed.add(name);
            }
        });
        return changed;
    }
}
