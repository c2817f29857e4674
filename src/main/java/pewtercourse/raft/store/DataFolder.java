package pewtercourse.raft.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The file names in a data folder: segments are named {@code log-NUMBER}, snapshots {@code snapshot-INDEX}, and a
 * snapshot that is being written has the suffix {@value #PARTIAL_SUFFIX}. Files with other names do not belong to the
 * store and are ignored.
 */
record DataFolder(Path path) {
    private static final String LOCK = "lock";
    private static final String SEGMENT_PREFIX = "log-";
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String PARTIAL_SUFFIX = ".partial";
    private static final String NUMBER_PATTERN = "[0-9]{1,18}";

    Path lockFile() {
        return path.resolve(LOCK);
    }

    Path segment(long number) {
        return path.resolve(SEGMENT_PREFIX + number);
    }

    Path snapshot(long index) {
        return path.resolve(SNAPSHOT_PREFIX + index);
    }

    /** The file of the snapshot with this index while it is being written. */
    Path partialSnapshot(long index) {
        return path.resolve(SNAPSHOT_PREFIX + index + PARTIAL_SUFFIX);
    }

    /** The numbers of the segments, in ascending order. */
    List<Long> segmentNumbers() throws IOException {
        return numbersOfFiles(SEGMENT_PREFIX);
    }

    /** The indexes of the snapshots, in ascending order. */
    List<Long> snapshotIndexes() throws IOException {
        return numbersOfFiles(SNAPSHOT_PREFIX);
    }

    /** Whether the folder exists and contains a segment or a snapshot. */
    boolean holdsData() throws IOException {
        return Files.isDirectory(path)
                && !(segmentNumbers().isEmpty() && snapshotIndexes().isEmpty());
    }

    /** Deletes snapshots that were not completed and renamed; no saved state depends on them. */
    void deletePartialFiles() throws IOException {
        for (Path file : listFiles(name -> name.endsWith(PARTIAL_SUFFIX))) {
            Files.delete(file);
        }
    }

    /** Syncs the folder itself, so that the creation, renaming and deletion of its files survive a crash. */
    void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private List<Long> numbersOfFiles(String prefix) throws IOException {
        List<Long> numbers = new ArrayList<>();
        for (Path file : listFiles(name -> name.startsWith(prefix))) {
            String suffix = file.getFileName().toString().substring(prefix.length());
            if (suffix.matches(NUMBER_PATTERN)) {
                numbers.add(Long.parseLong(suffix));
            }
        }
        numbers.sort(null);
        return numbers;
    }

    private List<Path> listFiles(Predicate<String> nameMatches) throws IOException {
        List<Path> matching = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(path)) {
            for (Path file : files) {
                if (nameMatches.test(file.getFileName().toString())) {
                    matching.add(file);
                }
            }
        }
        return matching;
    }
}
