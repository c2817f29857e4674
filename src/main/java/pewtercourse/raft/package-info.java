/**
 * Replication of a log by Raft. Pure: messages, completed saves and the time go in; messages and what is to be saved come
 * out. {@link pewtercourse.raft.Raft} is the entry point; it hands each message to the part of its role:
 * {@code Election}, {@code Leader} (with {@code LogReplicator}, {@code LeadershipTransfer}, {@code ReadIndexQueue} and
 * {@code MembershipChanges}) or {@code LogReceiver} for followers.
 */
package pewtercourse.raft;
