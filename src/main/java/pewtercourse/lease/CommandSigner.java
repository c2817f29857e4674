package pewtercourse.lease;

/** Numbers this member's commands, so that the member recognizes its own commands once they are agreed. */
final class CommandSigner {
    private final String member;
    private long nextId;

    CommandSigner(String member, long firstId) {
        this.member = member;
        this.nextId = firstId;
    }

    Command.Envelope sign(Command command) {
        return new Command.Envelope(member, nextId++, command);
    }
}
