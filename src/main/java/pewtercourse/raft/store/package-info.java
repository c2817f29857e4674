/**
 * The data folder of a cluster member: log segments with checksums, snapshots, recovery after a crash.
 *
 * <p>{@link pewtercourse.raft.store.LogStore} is the entry point. It writes segments and snapshots through
 * {@code SegmentFiles} and {@code SnapshotFiles}, each of which owns its files; {@code LogReader} rebuilds the log from
 * them. {@code RecordFormat} is the format of a record in any of these files; what a record holds is in
 * {@code cluster.proto}. All calls block on the disk.
 */
package pewtercourse.raft.store;
