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
 * The snapshots in a data folder, one record in a file each. A snapshot is written under a temporary name, synced, and
 * renamed: one that has its name is complete. The last {@value #RETAINED} are retained.
 */
final class SnapshotFiles {
    private static final int RETAINED = 2;

    private final DataFolder folder;

    SnapshotFiles(DataFolder folder) {
        this.folder = folder;
    }

    /**
     * Writes a snapshot; on return it is on disk under its name.
     *
     * @param cluster the name of the cluster that it belongs to
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
     * The snapshot of the highest index, or {@link Snapshot#NOTHING}. It was synced before it got its name: where it is
     * damaged this fails, since falling back to an older one would be a guess.
     */
    Snapshot readNewest(HeaderCheck check) throws IOException {
        List<Long> indexes = folder.snapshotIndexes();
        if (indexes.isEmpty()) {
            return Snapshot.NOTHING;
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

    /** The index of the oldest snapshot that is retained, or empty where there is none. */
    OptionalLong oldestRetainedIndex() throws IOException {
        List<Long> indexes = folder.snapshotIndexes();
        return indexes.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(indexes.get(Math.max(0, indexes.size() - RETAINED)));
    }

    /** Deletes the snapshots of lower indexes. */
    void deleteBefore(long index) throws IOException {
        for (long older : folder.snapshotIndexes()) {
            if (older < index) {
                Files.deleteIfExists(folder.snapshot(older));
            }
        }
    }
}
