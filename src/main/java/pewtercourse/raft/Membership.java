package pewtercourse.raft;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who belongs to the cluster, by name. An {@code incarnation} stands for one data folder: a member that comes back
 * without its folder has forgotten what it promised, so what it says counts only once the log names its new one.
 * Changes are made one member at a time (Ongaro, dissertation, 4.1), so that the majorities before and after meet.
 */
public record Membership(Map<String, Member> all) {
    /** The incarnation of every member at the founding; later ones are drawn at random. */
    public static final long FOUNDING = 1;

    public static final Membership NONE = new Membership(Map.of());

    /** {@code address}: where the others reach it, unless their own file says otherwise; may be empty. */
    public record Member(String address, long incarnation, boolean voter) {}

    public Membership {
        all = java.util.Collections.unmodifiableMap(new TreeMap<>(all));
    }

    public static Membership founding(Map<String, String> addresses) {
        Map<String, Member> all = new TreeMap<>();
        addresses.forEach((name, address) -> all.put(name, new Member(address, FOUNDING, true)));
        return new Membership(all);
    }

    public Membership with(String name, Member m) {
        Map<String, Member> next = new TreeMap<>(all);
        next.put(name, m);
        return new Membership(next);
    }

    public Membership without(String name) {
        Map<String, Member> next = new TreeMap<>(all);
        next.remove(name);
        return new Membership(next);
    }

    public boolean votes(String name, long incarnation) {
        Member m = all.get(name);
        return m != null && m.voter() && m.incarnation() == incarnation;
    }

    public boolean has(String name, long incarnation) {
        return all.containsKey(name) && all.get(name).incarnation() == incarnation;
    }

    public int voters() {
        return (int) all.values().stream().filter(Member::voter).count();
    }

    /** Whether these names hold a majority of the votes. */
    public boolean majority(Collection<String> names) {
        long yes = all.entrySet().stream()
                .filter(e -> e.getValue().voter() && names.contains(e.getKey()))
                .count();
        return 2 * yes > voters();
    }
}
