/**
 * Replicates a log with the Raft algorithm. The package does no input or output of its own: its inputs are messages,
 * completed saves and the time; its outputs are messages and saves. {@link pewtercourse.raft.Raft} is the entry point.
 * It dispatches each message to the class that handles it: {@code Election}, {@code Leader} (with
 * {@code LogReplicator}, {@code LeadershipTransfer}, {@code ReadIndexQueue} and {@code MembershipChanges}) or, on
 * followers, {@code LogReceiver}.
 */
package pewtercourse.raft;
