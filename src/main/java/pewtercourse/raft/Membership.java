package pewtercourse.raft;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members of the group, by name. An incarnation identifies one data folder of a member: a member that restarts
 * without its folder no longer knows its votes and the entries it acknowledged, so its replies count only after its new
 * incarnation is in the log. Members are changed one at a time (Ongaro, dissertation, 4.1), so that any majority before
 * the change overlaps with any majority after it.
 *
 * @param all the members by name, in the order of the names
 */
public record Membership(Map<String, Member> all) {
    /** The incarnation of each member of a bootstrapped group; the incarnation of a later folder is drawn at random. */
    public static final long BOOTSTRAP_INCARNATION = 1;

    /** The membership that a member starts with before it receives one from its group. */
    public static final Membership EMPTY = new Membership(Map.of());

    /**
     * One member.
     *
     * @param address the address at which the others reach this member unless their configuration names another one;
     *     may be empty
     * @param incarnation the incarnation of the member's data folder
     * @param voter whether the member is a voter; false for a learner
     */
    public record Member(String address, long incarnation, boolean voter) {}

    /** Copies the map, sorted by name. */
    public Membership {
        all = Collections.unmodifiableMap(new TreeMap<>(all));
    }

    /** Returns the membership of a new group: a voter for each name and address. */
    public static Membership bootstrap(Map<String, String> addresses) {
        Map<String, Member> members = new TreeMap<>();
        addresses.forEach((name, address) -> members.put(name, new Member(address, BOOTSTRAP_INCARNATION, true)));
        return new Membership(members);
    }

    /** Returns this membership with one member added or replaced. */
    public Membership with(String name, Member member) {
        Map<String, Member> updated = new TreeMap<>(all);
        updated.put(name, member);
        return new Membership(updated);
    }

    /** Returns this membership without one member. */
    public Membership without(String name) {
        Map<String, Member> updated = new TreeMap<>(all);
        updated.remove(name);
        return new Membership(updated);
    }

    /** Whether this incarnation of the member is a voter. */
    public boolean isVoter(String name, long incarnation) {
        Member member = all.get(name);
        return member != null && member.voter() && member.incarnation() == incarnation;
    }

    /** Whether this incarnation of the member belongs to the group, as a voter or a learner. */
    public boolean contains(String name, long incarnation) {
        return all.containsKey(name) && all.get(name).incarnation() == incarnation;
    }

    /** The number of voters. */
    public int voterCount() {
        return (int) all.values().stream().filter(Member::voter).count();
    }

    /** Whether these members include a majority of the voters. */
    public boolean isQuorum(Collection<String> names) {
        long votes = all.entrySet().stream()
                .filter(entry -> entry.getValue().voter() && names.contains(entry.getKey()))
                .count();
        return 2 * votes > voterCount();
    }
}
