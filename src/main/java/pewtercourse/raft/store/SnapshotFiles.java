package pewtercourse.raft.store;

import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.OptionalLong;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.wire.Wire;

/**
 * Reads and writes the snapshots in a data folder. Each file contains one record. A snapshot is written under a
 * temporary name, synced, and renamed, so that a file with a snapshot's name is complete. The last
 * {@value #RETAINED_SNAPSHOTS} snapshots are retained.
 */
final class SnapshotFiles {
    private static final int RETAINED_SNAPSHOTS = 2;

    private final DataFolder folder;

    SnapshotFiles(DataFolder folder) {
        this.folder = folder;
    }

    /**
     * Writes a snapshot; on return it is on disk under its name.
     *
     * @param cluster the name of this member's cluster
     */
    void write(String cluster, Snapshot snapshot) throws IOException {
        Path partial = folder.partialSnapshot(snapshot.index());
        writeAndSync(partial, RecordFormat.encode(encode(cluster, snapshot)));
        Files.move(partial, folder.snapshot(snapshot.index()), StandardCopyOption.ATOMIC_MOVE);
        folder.sync();
    }

    private static byte[] encode(String cluster, Snapshot snapshot) {
        return Wire.SnapshotFile.newBuilder()
                .setVersion(HeaderCheck.FORMAT_VERSION)
                .setCluster(cluster)
                .setIndex(snapshot.index())
                .setTerm(snapshot.term())
                .setMembers(Codec.encode(snapshot.members()))
                .setState(UnsafeByteOperations.unsafeWrap(snapshot.state()))
                .build()
                .toByteArray();
    }

    private static void writeAndSync(Path file, ByteBuffer record) throws IOException {
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (record.hasRemaining()) {
                channel.write(record);
            }
            channel.force(true);
        }
    }

    /**
     * Reads the snapshot with the highest index; returns {@link Snapshot#EMPTY} if there is none.
     *
     * @throws StoreException if the snapshot is damaged. It was synced before it was renamed, so it is part of the
     *     saved state; whether an older snapshot still leads to that state would be a guess
     */
    Snapshot readNewest(HeaderCheck check) throws IOException {
        List<Long> indexes = folder.snapshotIndexes();
        if (indexes.isEmpty()) {
            return Snapshot.EMPTY;
        }
        Path file = folder.snapshot(indexes.get(indexes.size() - 1));
        byte[] content = RecordFormat.decode(ByteBuffer.wrap(Files.readAllBytes(file)), 0)
                .orElseThrow(() -> StoreException.damaged(file, 0));
        Wire.SnapshotFile stored = Wire.SnapshotFile.parseFrom(content);
        check.require(file, stored);
        return new Snapshot(
                stored.getIndex(),
                stored.getTerm(),
                Codec.decode(stored.getMembers()),
                stored.getState().toByteArray());
    }

    /** The index of the oldest snapshot that is retained; empty if there is none. */
    OptionalLong oldestRetainedIndex() throws IOException {
        List<Long> indexes = folder.snapshotIndexes();
        return indexes.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(indexes.get(Math.max(0, indexes.size() - RETAINED_SNAPSHOTS)));
    }

    /** Deletes the snapshots with lower indexes. */
    void deleteBefore(long index) throws IOException {
        for (long older : folder.snapshotIndexes()) {
            if (older < index) {
                Files.deleteIfExists(folder.snapshot(older));
            }
        }
    }
}
