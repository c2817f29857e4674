package pewtercourse.lease;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import pewtercourse.lease.wire.LeaseWire;

/**
 * Caches that are drained, caches that were reinstated, each with its time in Unix milliseconds, and the order of the
 * operators' commands on each cache. All tables are bounded.
 */
final class DrainTable {
    private static final int MAX_TARGETS = 1_024;
    private static final int MAX_COMMANDS = 4_096;

    private final Map<String, Long> drained = new TreeMap<>();
    private final Map<String, Long> reinstated = new TreeMap<>();
    private final Map<String, Long> lastCommands = new TreeMap<>(); // By cache: the entry of the last operator command.
    private long revision;

    Map<String, Long> drained() {
        return Collections.unmodifiableMap(drained);
    }

    Map<String, Long> reinstated() {
        return Collections.unmodifiableMap(reinstated);
    }

    /** Changes of the two tables since this object was made. */
    long revision() {
        return revision;
    }

    /** The entry of the last operator command on a cache, 0 where none is known any more. */
    long lastCommand(String target) {
        return lastCommands.getOrDefault(target, 0L);
    }

    /**
     * Applies an operator's command on a cache, unless another one came after the one that its proposer knew: then it is
     * a late or repeated copy, and would undo what an operator has been told since.
     */
    CommandOutcome applyInOrder(long entry, String target, long expectedEntry, Supplier<CommandOutcome> command) {
        if (lastCommand(target) != expectedEntry) {
            return CommandOutcome.rejected(RejectionReason.SUPERSEDED);
        }
        CommandOutcome outcome = command.get();
        if (outcome.isApplied()) {
            lastCommands.put(target, entry);
            if (lastCommands.size() > MAX_COMMANDS) {
                removeOldest(lastCommands);
            }
        }
        return outcome;
    }

    CommandOutcome drain(String target, long atUnixMs) {
        if (drained.containsKey(target)) {
            return CommandOutcome.APPLIED;
        }
        if (drained.size() >= MAX_TARGETS) {
            return CommandOutcome.rejected(RejectionReason.DRAIN_LIMIT_REACHED, MAX_TARGETS);
        }
        revision++;
        drained.put(target, atUnixMs);
        reinstated.remove(target);
        return CommandOutcome.APPLIED;
    }

    CommandOutcome reinstate(String target, long atUnixMs) {
        if (drained.remove(target) != null) {
            if (reinstated.size() >= MAX_TARGETS) {
                removeOldest(reinstated);
            }
            reinstated.put(target, atUnixMs);
            revision++;
        }
        return CommandOutcome.APPLIED;
    }

    private static void removeOldest(Map<String, Long> timed) {
        timed.remove(
                Collections.min(timed.entrySet(), Map.Entry.comparingByValue()).getKey());
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        drained.forEach((target, at) -> snapshot.addDrained(timed(target, at)));
        reinstated.forEach((target, at) -> snapshot.addReinstated(timed(target, at)));
        lastCommands.forEach((target, entry) -> snapshot.addOperatorCommand(
                LeaseWire.OperatorCommand.newBuilder().setTarget(target).setEntry(entry)));
    }

    private static LeaseWire.TimedTarget.Builder timed(String target, long atUnixMs) {
        return LeaseWire.TimedTarget.newBuilder().setTarget(target).setAtUnixMs(atUnixMs);
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        snapshot.getDrainedList().forEach(timed -> drained.put(timed.getTarget(), timed.getAtUnixMs()));
        snapshot.getReinstatedList().forEach(timed -> reinstated.put(timed.getTarget(), timed.getAtUnixMs()));
        snapshot.getOperatorCommandList().forEach(command -> lastCommands.put(command.getTarget(), command.getEntry()));
    }
}
