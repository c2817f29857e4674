package pewtercourse.raft.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.TreeMap;
import pewtercourse.raft.wire.Wire;

/**
 * Writes the segments of a data folder: each begins with a head and the hard state, so that older segments can be deleted
 * once a snapshot covers their entries; then come batches. Owns the open file of the newest one.
 */
final class SegmentFiles implements Closeable {
    /** In place of the highest index of a segment without entries. */
    static final long NO_ENTRY = -1;

    private final DataFolder folder;
    private final FolderOwner owner;
    private final TreeMap<Long, Long> lastIndexes = new TreeMap<>(); // By the segment's number.
    private long nextNumber = 1;
    private long number;
    private long bytesWritten;
    private FileChannel channel; // Null until the first segment is begun.

    SegmentFiles(DataFolder folder, FolderOwner owner) {
        this.folder = folder;
        this.owner = owner;
    }

    /** Goes on behind the segments that were read, without what a crash left of a record at their end. */
    void continueFrom(StoredLog stored) throws IOException {
        if (stored.tornTail().isPresent()) {
            cut(stored.tornTail().get());
        }
        lastIndexes.putAll(stored.lastIndexes());
        nextNumber = stored.nextSegment();
    }

    private void cut(StoredLog.TornTail tail) throws IOException {
        Path file = folder.segment(tail.segment());
        if (tail.completeBytes() == 0) {
            Files.delete(file);
            return;
        }
        try (FileChannel segment = FileChannel.open(file, StandardOpenOption.WRITE)) {
            segment.truncate(tail.completeBytes());
            segment.force(true);
        }
    }

    /**
     * Begins the next segment; on return it is on disk.
     *
     * @param incarnation the folder's
     * @param hardState as last saved
     * @param resetTo the index of a snapshot before which all that older segments hold is void, or 0
     */
    void begin(long incarnation, HardState hardState, long resetTo) throws IOException {
        close();
        number = nextNumber;
        nextNumber++;
        bytesWritten = 0;
        channel = FileChannel.open(
                folder.segment(number),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        write(head(incarnation).toByteArray());
        write(Wire.Batch.newBuilder()
                .setTerm(hardState.term())
                .setVotedFor(hardState.votedFor())
                .setCommit(hardState.commit())
                .setResetTo(resetTo)
                .build()
                .toByteArray());
        channel.force(true);
        folder.sync();
        lastIndexes.put(number, NO_ENTRY);
    }

    private Wire.SegmentHead head(long incarnation) {
        return Wire.SegmentHead.newBuilder()
                .setVersion(HeaderCheck.FORMAT_VERSION)
                .setCluster(owner.cluster())
                .setMember(owner.member())
                .setIncarnation(incarnation)
                .setNumber(number)
                .build();
    }

    /** Adds a batch to the newest segment, to be synced later; {@code lastIndex} is that of the log after it. */
    void append(Wire.Batch batch, long lastIndex) throws IOException {
        write(batch.toByteArray());
        lastIndexes.put(number, lastIndex);
    }

    private void write(byte[] content) throws IOException {
        ByteBuffer record = RecordFormat.encode(content);
        bytesWritten += record.remaining();
        while (record.hasRemaining()) {
            channel.write(record);
        }
    }

    /** Syncs the newest segment: on return, all that was appended is on disk. */
    void sync() throws IOException {
        channel.force(false);
    }

    /** The size of the newest segment in bytes. */
    long bytesWritten() {
        return bytesWritten;
    }

    /** Deletes the oldest segments whose every entry a snapshot of this index covers, but never the newest one. */
    void deleteCoveredBy(long snapshotIndex) throws IOException {
        while (lastIndexes.size() > 1 && lastIndexes.firstEntry().getValue() <= snapshotIndex) {
            Files.deleteIfExists(folder.segment(lastIndexes.pollFirstEntry().getKey()));
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
