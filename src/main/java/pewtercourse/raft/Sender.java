package pewtercourse.raft;

/** Who sent a message. {@code incarnation}: of its data folder, see {@link Membership}. */
record Sender(String name, long incarnation) {}
