package pewtercourse.lease;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import pewtercourse.lease.wire.LeaseWire;

/**
 * The drained and the reinstated caches, each with the time of the change in Unix milliseconds, and the last operator
 * command on each cache. The size of each map is limited.
 */
final class DrainTable {
    private static final int MAX_TARGETS = 1_024;
    private static final int MAX_LAST_COMMANDS = 4_096;

    private final Map<String, Long> drained = new TreeMap<>();
    private final Map<String, Long> reinstated = new TreeMap<>();
    private final Map<String, Long> lastCommands = new TreeMap<>(); // Entries, by cache.
    private long revision;

    Map<String, Long> drained() {
        return Collections.unmodifiableMap(drained);
    }

    Map<String, Long> reinstated() {
        return Collections.unmodifiableMap(reinstated);
    }

    /** How often the drained and the reinstated caches have changed since this object was created. */
    long revision() {
        return revision;
    }

    /** The entry of the last operator command on a cache; 0 if there was none, or if its record was evicted. */
    long lastCommand(String target) {
        return lastCommands.getOrDefault(target, 0L);
    }

    /**
     * Applies an operator's command on a cache, unless its proposer did not know the last operator command on that
     * cache. In that case the command is a late or repeated copy, and would undo the effect of a later command that was
     * already reported to an operator.
     */
    CommandOutcome applyInOrder(long entry, String target, long expectedEntry, Supplier<CommandOutcome> command) {
        if (lastCommand(target) != expectedEntry) {
            return CommandOutcome.rejected(RejectionReason.SUPERSEDED);
        }
        CommandOutcome outcome = command.get();
        if (outcome.isApplied()) {
            lastCommands.put(target, entry);
            if (lastCommands.size() > MAX_LAST_COMMANDS) {
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

    /** Removes the cache with the smallest value, that is with the earliest time or log entry. */
    private static void removeOldest(Map<String, Long> byTarget) {
        byTarget.remove(Collections.min(byTarget.entrySet(), Map.Entry.comparingByValue())
                .getKey());
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        drained.forEach((target, atUnixMs) -> snapshot.addDrained(timedTarget(target, atUnixMs)));
        reinstated.forEach((target, atUnixMs) -> snapshot.addReinstated(timedTarget(target, atUnixMs)));
        lastCommands.forEach((target, entry) -> snapshot.addOperatorCommand(
                LeaseWire.OperatorCommand.newBuilder().setTarget(target).setEntry(entry)));
    }

    private static LeaseWire.TimedTarget.Builder timedTarget(String target, long atUnixMs) {
        return LeaseWire.TimedTarget.newBuilder().setTarget(target).setAtUnixMs(atUnixMs);
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        snapshot.getDrainedList().forEach(cache -> drained.put(cache.getTarget(), cache.getAtUnixMs()));
        snapshot.getReinstatedList().forEach(cache -> reinstated.put(cache.getTarget(), cache.getAtUnixMs()));
        snapshot.getOperatorCommandList().forEach(command -> lastCommands.put(command.getTarget(), command.getEntry()));
    }
}
