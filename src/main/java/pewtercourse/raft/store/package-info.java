/**
 * Stores the log of a cluster member in its data folder: log segments with checksums, snapshots, and recovery after a
 * crash.
 *
 * <p>{@link pewtercourse.raft.store.LogStore} is the entry point. It writes segments and snapshots with
 * {@code SegmentFiles} and {@code SnapshotFiles}, each of which owns its files; {@code LogReader} rebuilds the log from
 * these files. {@code RecordFormat} defines the framing of the records in all of them; {@code cluster.proto} defines
 * the content of a record. All calls block on the disk.
 */
package pewtercourse.raft.store;
