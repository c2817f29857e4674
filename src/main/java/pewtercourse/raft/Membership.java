package pewtercourse.raft;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who belongs to the group, by name. An incarnation stands for one data folder: a member that comes back without its
 * folder has forgotten what it promised, so what it says counts only once the log has its new incarnation. Changes are
 * made one member at a time (Ongaro, dissertation, 4.1), so that the majorities before and after overlap.
 *
 * @param all the members by name, in the order of the names
 */
public record Membership(Map<String, Member> all) {
    /** The incarnation of every member of a group that is bootstrapped; later ones are drawn at random. */
    public static final long BOOTSTRAP_INCARNATION = 1;

    /** Of a member that has not learned yet who belongs to its group. */
    public static final Membership EMPTY = new Membership(Map.of());

    /**
     * One member.
     *
     * @param address where the others reach it, unless their configuration says otherwise; may be empty
     * @param incarnation of its data folder
     * @param voter false while it only learns
     */
    public record Member(String address, long incarnation, boolean voter) {}

    /** Copies the map. */
    public Membership {
        all = Collections.unmodifiableMap(new TreeMap<>(all));
    }

    /** The voters of a new group, by name. */
    public static Membership bootstrap(Map<String, String> addresses) {
        Map<String, Member> all = new TreeMap<>();
        addresses.forEach((name, address) -> all.put(name, new Member(address, BOOTSTRAP_INCARNATION, true)));
        return new Membership(all);
    }

    /** This membership with one member added or replaced. */
    public Membership with(String name, Member member) {
        Map<String, Member> next = new TreeMap<>(all);
        next.put(name, member);
        return new Membership(next);
    }

    /** This membership without one member. */
    public Membership without(String name) {
        Map<String, Member> next = new TreeMap<>(all);
        next.remove(name);
        return new Membership(next);
    }

    /** Whether this incarnation of the member has a vote. */
    public boolean isVoter(String name, long incarnation) {
        Member member = all.get(name);
        return member != null && member.voter() && member.incarnation() == incarnation;
    }

    /** Whether this incarnation of the member belongs to the group, as a voter or a learner. */
    public boolean contains(String name, long incarnation) {
        return all.containsKey(name) && all.get(name).incarnation() == incarnation;
    }

    /** How many members have a vote. */
    public int voterCount() {
        return (int) all.values().stream().filter(Member::voter).count();
    }

    /** Whether these names hold a majority of the votes. */
    public boolean isQuorum(Collection<String> names) {
        long votes = all.entrySet().stream()
                .filter(entry -> entry.getValue().voter() && names.contains(entry.getKey()))
                .count();
        return 2 * votes > voterCount();
    }
}
