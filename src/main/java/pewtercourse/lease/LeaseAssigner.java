package pewtercourse.lease;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's part: gives duties that nobody holds to members that it hears, spread by rendezvous hashing (Thaler and
 * Ravishankar, 1998) with no more than an equal share for each, and moves one back only to a member that it has heard
 * without a break for long.
 */
final class LeaseAssigner {
    // Of a lease: unheard for so long a member counts as absent; heard for so long it counts again, and gets duties
    // back.
    private static final double ABSENT_LEASES = 2, PRESENT_LEASES = 1, SETTLED_LEASES = 10;

    private final LeaseSettings set;
    private final Map<String, Long> heardSince = new HashMap<>(), unheardSince = new HashMap<>();
    private final Map<String, Long> orderedAt = new HashMap<>(); // By order: when it was last given.

    LeaseAssigner(LeaseSettings set) {
        this.set = set;
    }

    /** It does not lead, or no longer: what it knew of the others is void. */
    void reset() {
        heardSince.clear();
        unheardSince.clear();
        orderedAt.clear();
    }

    /** {@code heard}: who answered of late; {@code members}: who there is. */
    List<Command> orders(long now, ClusterState state, LeaseWatch watch, Set<String> members, Set<String> heard) {
        note(now, members, heard);
        List<Command> orders = new ArrayList<>();
        orderedAt.values().removeIf(at -> now - at >= set.again());
        for (String m : members) {
            boolean absent = state.absent().contains(m);
            Long since = absent ? heardSince.get(m) : unheardSince.get(m);
            if (since != null && now - since > (absent ? PRESENT_LEASES : ABSENT_LEASES) * set.lease()) {
                order(now, orders, "absent " + m, new Command.ReportAbsence(m, !absent));
            }
        }
        for (String m : state.absent()) {
            if (!members.contains(m)) {
                order(now, orders, "absent " + m, new Command.ReportAbsence(m, false)); // It was removed.
            }
        }
        Set<String> able = new TreeSet<>(heard);
        able.retainAll(members);
        able.removeAll(state.unwilling());
        if (able.isEmpty()) {
            return orders;
        }
        Map<String, String> now0 = holders(state);
        for (String name : new TreeSet<>(set.names())) {
            ClusterState.LeaseRecord d = state.duty(name);
            if (vacant(now, name, d, watch)) {
                Map<String, String> others = new TreeMap<>(now0);
                others.remove(name);
                Set<String> but = new TreeSet<>(able);
                if (but.size() > 1) {
                    // It has handed it on, let it lapse, or not taken it up.
                    but.remove(d.holder().isEmpty() ? d.preferred() : d.holder());
                }
                String to = best(name, but, others);
                if (order(now, orders, "assign " + name, new Command.AssignLease(name, to, d.token(), d.renewals()))) {
                    now0.put(name, to);
                }
            }
        }
        move(now, state, able, now0, orders);
        return orders;
    }

    private boolean vacant(long now, String name, ClusterState.LeaseRecord d, LeaseWatch watch) {
        // One that was assigned and not taken up holds no lease: only a renewal, which the log refuses from then on,
        // begins one.
        return d.holder().isEmpty() || watch.age(now, name) > (d.renewals() == 0 ? 2 * set.again() : set.waited());
    }

    private static Map<String, String> holders(ClusterState state) {
        Map<String, String> holders = new TreeMap<>();
        state.duties().forEach((name, d) -> {
            if (!d.holder().isEmpty()) {
                holders.put(name, d.holder());
            }
        });
        return holders;
    }

    // At most one move at a time, to a member that has been heard for long.
    private void move(
            long now, ClusterState state, Set<String> able, Map<String, String> holders, List<Command> orders) {
        Set<String> settled = new TreeSet<>(able);
        settled.removeIf(m -> now - heardSince.getOrDefault(m, now) < SETTLED_LEASES * set.lease());
        boolean quiet = set.names().stream().allMatch(n -> {
            ClusterState.LeaseRecord d = state.duty(n);
            return !d.moves() && d.renewals() > 0 && able.contains(d.holder());
        });
        if (!quiet || !settled.containsAll(able)) {
            return;
        }
        Map<String, String> wanted = new TreeMap<>();
        for (String name : new TreeSet<>(set.names())) {
            wanted.put(name, best(name, settled, wanted));
        }
        for (Map.Entry<String, String> w : wanted.entrySet()) {
            if (!w.getValue().equals(holders.get(w.getKey()))) {
                order(
                        now,
                        orders,
                        "move",
                        new Command.RequestTransfer(
                                w.getKey(), state.duty(w.getKey()).token(), w.getValue()));
                return;
            }
        }
    }

    private void note(long now, Set<String> members, Set<String> heard) {
        heardSince.keySet().retainAll(heard);
        unheardSince.keySet().removeAll(heard);
        unheardSince.keySet().retainAll(members);
        heard.forEach(m -> heardSince.putIfAbsent(m, now));
        Set<String> unheard = new HashSet<>(members);
        unheard.removeAll(heard);
        unheard.forEach(m -> unheardSince.putIfAbsent(m, now));
    }

    private boolean order(long now, List<Command> orders, String key, Command c) {
        if (orderedAt.putIfAbsent(key, now) != null) {
            return false;
        }
        orders.add(c);
        return true;
    }

    /** By hash, among those that have fewer of the {@code taken} than an equal share. */
    String best(String duty, Set<String> able, Map<String, String> taken) {
        int share = (set.names().size() + able.size() - 1) / able.size();
        String best = null;
        long most = 0;
        for (String m : able) {
            long has = taken.values().stream().filter(m::equals).count();
            long weight = hash(duty + '\0' + m) >>> 1;
            if (has < share && (best == null || weight > most)) {
                best = m;
                most = weight;
            }
        }
        return best == null ? able.iterator().next() : best;
    }

    // FNV-1a, then the finalizer of SplitMix64: the first alone hardly mixes the last letters.
    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}
