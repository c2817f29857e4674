package pewtercourse.lease;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;
import pewtercourse.lease.wire.LeaseWire;

/**
 * The members that do not take leases at present, and the members that the leader has not heard from for a long time.
 */
final class MemberTable {
    // Limits how many names the members can add to the state.
    private static final int MAX_MEMBERS = 64;

    private final Set<String> ineligible = new TreeSet<>();
    private final Set<String> absent = new TreeSet<>();

    Set<String> ineligible() {
        return Collections.unmodifiableSet(ineligible);
    }

    Set<String> absent() {
        return Collections.unmodifiableSet(absent);
    }

    CommandOutcome setEligibility(String member, boolean eligible) {
        return eligible ? remove(ineligible, member) : add(ineligible, member);
    }

    CommandOutcome reportAbsence(Command.ReportAbsence command) {
        return command.absent() ? add(absent, command.member()) : remove(absent, command.member());
    }

    private static CommandOutcome add(Set<String> members, String member) {
        if (members.size() >= MAX_MEMBERS) {
            return CommandOutcome.rejected(RejectionReason.MEMBER_LIMIT_REACHED);
        }
        return members.add(member)
                ? CommandOutcome.APPLIED
                : CommandOutcome.rejected(RejectionReason.MEMBER_STATUS_UNCHANGED);
    }

    private static CommandOutcome remove(Set<String> members, String member) {
        return members.remove(member)
                ? CommandOutcome.APPLIED
                : CommandOutcome.rejected(RejectionReason.MEMBER_STATUS_UNCHANGED);
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        snapshot.addAllIneligibleMember(ineligible).addAllAbsentMember(absent);
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        ineligible.addAll(snapshot.getIneligibleMemberList());
        absent.addAll(snapshot.getAbsentMemberList());
    }
}
