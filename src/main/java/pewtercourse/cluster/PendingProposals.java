package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import pewtercourse.Timers;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.CommandOutcome;

/**
 * Commands of this member that wait to be committed. Each is offered to the log again until it is applied here, for a
 * bounded time.
 *
 * <p>Mutable state: the pending proposals by the number of their command, in the order in which they were made. Event loop
 * only.
 */
final class PendingProposals {
    private static final int MAX_PENDING = 256;
    // Below the 2 s after which a caller of the operators' address is cut off.
    private static final long COMMIT_TIMEOUT_MS = 1_300;
    private static final long RETRY_INTERVAL_MS = 150;
    private static final long NO_TIMER = -1;

    /** The cluster's log, as far as proposals need it. */
    interface ReplicatedLog {
        /** False while the member's data folder is not open. */
        boolean open();

        Command.Envelope sign(Command command);

        /** To the log, or to the leader; may be lost. */
        void offer(byte[] command, long id);

        /** For people: why nothing is committed for now. */
        String whyNotCommitted();
    }

    private final Timers timers;
    private final ReplicatedLog log;
    private final Map<Long, Proposal> pending = new LinkedHashMap<>();

    PendingProposals(Timers timers, ReplicatedLog log) {
        this.timers = timers;
        this.log = log;
    }

    int count() {
        return pending.size();
    }

    /**
     * Has a command committed; it is made anew where another command on the same cache was committed first. Fails, with the
     * reason, when that is not known in time: it may still be committed later, and proposing it again does no harm.
     */
    Future<CommandOutcome> propose(Supplier<Command> command) {
        if (!log.open()) {
            return Future.failedFuture(ClusterMember.FOLDER_CLOSED);
        }
        if (pending.size() >= MAX_PENDING) {
            return Future.failedFuture("too many calls wait");
        }
        Proposal proposal = new Proposal(command);
        proposal.propose();
        return proposal.done.future();
    }

    /** The command with this number was applied. */
    void applied(long id, CommandOutcome result) {
        Proposal proposal = pending.get(id);
        if (proposal != null) {
            proposal.applied(result);
        }
    }

    /** None of them will be offered again. */
    void failAll(String reason) {
        List.copyOf(pending.values()).forEach(proposal -> proposal.done.tryFail(reason));
    }

    private final class Proposal {
        private final Promise<CommandOutcome> done = Promise.promise();
        private final Supplier<Command> command;
        private final long timeout;
        private long id;
        private long retryTimer = NO_TIMER;
        private byte[] encoded;

        Proposal(Supplier<Command> command) {
            this.command = command;
            this.timeout = timers.set(COMMIT_TIMEOUT_MS, () -> done.tryFail(log.whyNotCommitted()));
            done.future().onComplete(result -> forget());
        }

        void propose() {
            Command.Envelope envelope = log.sign(command.get());
            id = envelope.id();
            encoded = CommandCodec.encode(envelope);
            pending.put(id, this);
            offer();
        }

        private void offer() {
            if (log.open() && pending.containsKey(id)) {
                retryTimer = timers.set(RETRY_INTERVAL_MS, this::offer);
                log.offer(encoded, id);
            }
        }

        void applied(CommandOutcome result) {
            if (!result.isSuperseded()) {
                done.tryComplete(result);
                return;
            }
            // What was committed first is known here now: proposed again, this one comes after it.
            pending.remove(id);
            timers.cancel(retryTimer);
            propose();
        }

        private void forget() {
            pending.remove(id);
            timers.cancel(timeout);
            timers.cancel(retryTimer);
        }
    }
}
