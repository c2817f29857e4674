package pewtercourse.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.Optional;
import pewtercourse.Log;

/**
 * Stores the {@link OperatorState} in a file that all processes of a director read. The file is replaced by an atomic
 * move, so that no process reads an incomplete file. Event loop only: blocking is acceptable because the file has some
 * hundred bytes and its folder is in memory.
 */
public final class StateFile {
    private static final String FILE_NAME = "pewtercourse-operators.json";
    private static final int MAX_BYTES = 1 << 20;

    private final Path file;
    // The content last read or written by this process, to detect changes.
    private byte[] lastContent = {};

    /** Uses a file in {@code folder}; the file need not exist. */
    public StateFile(Path folder) {
        file = folder.resolve(FILE_NAME);
    }

    /**
     * Returns the state if the file is valid and has changed since this process last read or wrote it; otherwise
     * empty.
     */
    public Optional<OperatorState> readIfChanged() {
        byte[] content;
        try {
            content = Files.size(file) <= MAX_BYTES ? Files.readAllBytes(file) : new byte[0];
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            Log.counted("state.unreadable", "file", file, "error", e);
            return Optional.empty();
        }
        if (Arrays.equals(content, lastContent)) {
            return Optional.empty();
        }
        lastContent = content;
        return decode(content);
    }

    private Optional<OperatorState> decode(byte[] content) {
        try {
            return Optional.of(OperatorState.decode(new String(content, StandardCharsets.UTF_8)));
        } catch (RuntimeException e) {
            Log.warn("state.ignored", "file", file, "error", e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Replaces the file. Returns false, after logging the error, if it can't be written: other processes keep the old
     * state.
     */
    public boolean write(OperatorState state) {
        byte[] content = state.encode().getBytes(StandardCharsets.UTF_8);
        Path temporary = file.resolveSibling(FILE_NAME + "." + state.processId());
        try {
            Files.write(temporary, content);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            lastContent = content;
            return true;
        } catch (IOException e) {
            Log.warn("state.not_written", "file", file, "error", e);
            return false;
        }
    }
}
