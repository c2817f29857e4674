package pewtercourse.raft;

/**
 * The sender of a message.
 *
 * @param name the member's name
 * @param incarnation the incarnation of the member's data folder, see {@link Membership}
 */
record Sender(String name, long incarnation) {}
