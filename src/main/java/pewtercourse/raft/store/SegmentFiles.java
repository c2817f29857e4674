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
 * Writes the segments of a data folder. Each segment starts with a head and the hard state, so that older segments can
 * be deleted once a snapshot contains their entries; batches follow. Owns the open file of the newest segment.
 */
final class SegmentFiles implements Closeable {
    /** Stands for the highest index in a segment without entries. */
    static final long NO_ENTRY = -1;

    private final DataFolder folder;
    private final FolderOwner owner;
    private final TreeMap<Long, Long> lastIndexBySegment = new TreeMap<>(); // Highest index by segment number.
    private long nextNumber = 1;
    private long number;
    private long bytesWritten;
    private FileChannel channel; // Null until the first segment is started.

    SegmentFiles(DataFolder folder, FolderOwner owner) {
        this.folder = folder;
        this.owner = owner;
    }

    /** Continues after the segments that were read, and removes a torn record at the end of the newest one. */
    void continueFrom(StoredLog stored) throws IOException {
        lastIndexBySegment.putAll(stored.lastIndexBySegment());
        nextNumber = stored.nextSegment();
        if (stored.tornTail().isPresent()) {
            removeTornTail(stored.tornTail().get());
        }
    }

    private void removeTornTail(StoredLog.TornTail tail) throws IOException {
        Path file = folder.segment(tail.segment());
        if (tail.completeBytes() == 0) {
            Files.delete(file);
            nextNumber = tail.segment(); // The numbers must have no gap.
            return;
        }
        try (FileChannel segment = FileChannel.open(file, StandardOpenOption.WRITE)) {
            segment.truncate(tail.completeBytes());
            segment.force(true);
        }
    }

    /**
     * Starts the next segment; on return it is on disk.
     *
     * @param incarnation the incarnation of the folder
     * @param hardState the last saved hard state
     * @param resetTo the index of a snapshot that replaces all entries of older segments; 0 if there is none
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
        lastIndexBySegment.put(number, NO_ENTRY);
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

    /**
     * Appends a batch to the newest segment without syncing it.
     *
     * @param lastIndex the last index of the log after this batch
     */
    void append(Wire.Batch batch, long lastIndex) throws IOException {
        write(batch.toByteArray());
        lastIndexBySegment.put(number, lastIndex);
    }

    private void write(byte[] content) throws IOException {
        ByteBuffer record = RecordFormat.encode(content);
        bytesWritten += record.remaining();
        while (record.hasRemaining()) {
            channel.write(record);
        }
    }

    /** Syncs the newest segment; on return, all appended batches are on disk. */
    void sync() throws IOException {
        channel.force(false);
    }

    /** The size of the newest segment in bytes. */
    long bytesWritten() {
        return bytesWritten;
    }

    /** Deletes the oldest segments whose entries are all in a snapshot of this index, but never the newest segment. */
    void deleteCoveredBy(long snapshotIndex) throws IOException {
        while (lastIndexBySegment.size() > 1 && lastIndexBySegment.firstEntry().getValue() <= snapshotIndex) {
            Files.deleteIfExists(
                    folder.segment(lastIndexBySegment.pollFirstEntry().getKey()));
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
