package pewtercourse.lease;

import java.util.Optional;

/** The outcome of applying an agreed command. It is the same at every member. */
public sealed interface CommandOutcome {
    /** The command took effect, or its effect was there already. */
    CommandOutcome APPLIED = new Applied();

    /** Whether the command took effect, or its effect was there already. */
    boolean isApplied();

    /**
     * Whether the command was rejected only because the state has changed: proposed again with the current state's
     * entries, the same command can succeed.
     */
    boolean isSuperseded();

    /** The reason of the rejection, as a text for operators; empty if the command was applied. */
    Optional<String> rejectionText();

    /** A rejection without a subject. */
    static CommandOutcome rejected(RejectionReason reason) {
        return new Rejected(reason, "");
    }

    /** A rejection about {@code subject}: the limit that was reached, or the name that is wrong. */
    static CommandOutcome rejected(RejectionReason reason, Object subject) {
        return new Rejected(reason, subject.toString());
    }

    /** The command took effect, or its effect was there already. */
    record Applied() implements CommandOutcome {
        @Override
        public boolean isApplied() {
            return true;
        }

        @Override
        public boolean isSuperseded() {
            return false;
        }

        @Override
        public Optional<String> rejectionText() {
            return Optional.empty();
        }
    }

    /** The command was rejected and changed nothing. */
    record Rejected(RejectionReason reason, String subject) implements CommandOutcome {
        @Override
        public boolean isApplied() {
            return false;
        }

        @Override
        public boolean isSuperseded() {
            return reason == RejectionReason.SUPERSEDED;
        }

        @Override
        public Optional<String> rejectionText() {
            return Optional.of(reason.text(subject));
        }
    }
}
