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
 * Tracks the commands that this member has proposed until they are applied here. Each is offered to the log
 * repeatedly, for a bounded time.
 *
 * <p>Mutable state: the pending proposals by command id, in the order in which they were proposed. Event loop only.
 */
final class PendingProposals {
    private static final int MAX_PENDING = 256;
    // Below the 2 s after which the operators' address closes a call.
    private static final long COMMIT_TIMEOUT_MS = 1_300;
    private static final long RETRY_INTERVAL_MS = 150;
    private static final long NO_TIMER = -1;

    /** The operations on the replicated log that proposals need. */
    interface ReplicatedLog {
        /** Returns whether the member's data folder is open. */
        boolean open();

        Command.Envelope sign(Command command);

        /** Sends a command to the local log or to the leader; the command may be lost. */
        void offer(byte[] command, long id);

        /** Returns the reason, as text for operators, why a command was not committed in time. */
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
     * Proposes a command until it is applied. The supplier is called again if another command on the same cache was
     * committed first. The future fails with a reason if the outcome is not known in time: the command may still be
     * committed later, and it is safe to propose it again.
     */
    Future<CommandOutcome> propose(Supplier<Command> command) {
        if (!log.open()) {
            return Future.failedFuture(ClusterMember.FOLDER_CLOSED);
        }
        if (pending.size() >= MAX_PENDING) {
            return Future.failedFuture(
                    "too many commands wait to be committed: at most " + MAX_PENDING + " are allowed");
        }
        Proposal proposal = new Proposal(command);
        proposal.propose();
        return proposal.completion.future();
    }

    /** Handles the outcome of the applied command with this id. */
    void applied(long id, CommandOutcome outcome) {
        Proposal proposal = pending.get(id);
        if (proposal != null) {
            proposal.applied(outcome);
        }
    }

    /** Fails all pending proposals; none is offered again. */
    void failAll(String reason) {
        List.copyOf(pending.values()).forEach(proposal -> proposal.completion.tryFail(reason));
    }

    private final class Proposal {
        private final Promise<CommandOutcome> completion = Promise.promise();
        private final Supplier<Command> command;
        private final long timeoutTimer;
        private long id;
        private long retryTimer = NO_TIMER;
        private byte[] encoded;

        Proposal(Supplier<Command> command) {
            this.command = command;
            this.timeoutTimer = timers.set(COMMIT_TIMEOUT_MS, () -> completion.tryFail(log.whyNotCommitted()));
            completion.future().onComplete(result -> forget());
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

        void applied(CommandOutcome outcome) {
            if (!outcome.isSuperseded()) {
                completion.tryComplete(outcome);
                return;
            }
            // The command committed first is applied here, so the supplier now takes it into account.
            pending.remove(id);
            timers.cancel(retryTimer);
            propose();
        }

        private void forget() {
            pending.remove(id);
            timers.cancel(timeoutTimer);
            timers.cancel(retryTimer);
        }
    }
}
