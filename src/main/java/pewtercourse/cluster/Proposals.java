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

/** Commands of this member that wait to be agreed. They are offered again until they are, for a bounded time. */
final class Proposals {
    private static final int PENDING_MOST = 256;
    // A caller of the operators' address is cut off after 2 s.
    private static final long AGREE_MS = 1_300, OFFER_AGAIN_MS = 150;

    /** The log of the cluster, as far as proposals need it. */
    interface ReplicatedLog {
        /** False while the member's folder can't be used. */
        boolean open();

        Command.Envelope sign(Command command);

        /** To the log, or to whoever leads; may be lost. */
        void offer(byte[] command, long id);

        /** Why nothing is agreed for now. */
        String whyNotAgreed();
    }

    private final Timers timers;
    private final ReplicatedLog log;
    private final Map<Long, Proposal> pending = new LinkedHashMap<>();

    Proposals(Timers timers, ReplicatedLog log) {
        this.timers = timers;
        this.log = log;
    }

    int waiting() {
        return pending.size();
    }

    /**
     * Has a command agreed; it is made anew where another command on the same cache was agreed first. Fails, with the
     * reason, when that is not known in time: it may still be agreed later, and asking again does no harm.
     */
    Future<CommandOutcome> agree(Supplier<Command> command) {
        if (!log.open()) {
            return Future.failedFuture("the folder of this member can't be used: see the log");
        }
        if (pending.size() >= PENDING_MOST) {
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

    void failAll(String why) {
        List.copyOf(pending.values()).forEach(proposal -> proposal.done.tryFail(why));
    }

    private final class Proposal {
        private final Promise<CommandOutcome> done = Promise.promise();
        private final Supplier<Command> command;
        private final long timeout;
        private long id, offerAgain = -1;
        private byte[] encoded;

        Proposal(Supplier<Command> command) {
            this.command = command;
            this.timeout = timers.set(AGREE_MS, () -> done.tryFail(log.whyNotAgreed()));
            done.future().onComplete(result -> forget());
        }

        void propose() {
            Command.Envelope signed = log.sign(command.get());
            id = signed.id();
            encoded = CommandCodec.encode(signed);
            pending.put(id, this);
            offer();
        }

        private void offer() {
            if (log.open() && pending.containsKey(id)) {
                offerAgain = timers.set(OFFER_AGAIN_MS, this::offer);
                log.offer(encoded, id);
            }
        }

        void applied(CommandOutcome result) {
            if (!result.isSuperseded()) {
                done.tryComplete(result);
                return;
            }
            // What was agreed first is known here now: proposed again, it comes after that.
            pending.remove(id);
            timers.cancel(offerAgain);
            propose();
        }

        private void forget() {
            pending.remove(id);
            timers.cancel(timeout);
            timers.cancel(offerAgain);
        }
    }
}
