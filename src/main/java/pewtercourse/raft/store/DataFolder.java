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
 * The names of the files in a data folder: segments {@code log-NUMBER}, snapshots {@code snapshot-INDEX}, and a snapshot
 * that is being written, with a suffix. Files with any other name are somebody else's and left alone.
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

    /** The snapshot of this index while it is being written. */
    Path partialSnapshot(long index) {
        return path.resolve(SNAPSHOT_PREFIX + index + PARTIAL_SUFFIX);
    }

    /** The numbers of the segments, in ascending order. */
    List<Long> segmentNumbers() throws IOException {
        return numbers(SEGMENT_PREFIX);
    }

    /** The indexes of the snapshots, in ascending order. */
    List<Long> snapshotIndexes() throws IOException {
        return numbers(SNAPSHOT_PREFIX);
    }

    /** Whether it is there and holds a segment or a snapshot. */
    boolean holdsData() throws IOException {
        return Files.isDirectory(path)
                && !(segmentNumbers().isEmpty() && snapshotIndexes().isEmpty());
    }

    /** Deletes snapshots that were begun and never got their name: nothing relies on them. */
    void deletePartialFiles() throws IOException {
        for (Path file : list(name -> name.endsWith(PARTIAL_SUFFIX))) {
            Files.delete(file);
        }
    }

    /** Syncs the folder itself: after this, files that were created, renamed or deleted in it stay so after a crash. */
    void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private List<Long> numbers(String prefix) throws IOException {
        List<Long> numbers = new ArrayList<>();
        for (Path file : list(name -> name.startsWith(prefix))) {
            String rest = file.getFileName().toString().substring(prefix.length());
            if (rest.matches(NUMBER_PATTERN)) {
                numbers.add(Long.parseLong(rest));
            }
        }
        numbers.sort(null);
        return numbers;
    }

    private List<Path> list(Predicate<String> nameMatches) throws IOException {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(path)) {
            for (Path file : files) {
                if (nameMatches.test(file.getFileName().toString())) {
                    found.add(file);
                }
            }
        }
        return found;
    }
}
