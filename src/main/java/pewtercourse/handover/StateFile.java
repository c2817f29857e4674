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
 * The {@link OperatorState} in a file that all processes of a director can read. The file is replaced by an atomic move, so
 * that nobody reads a part of it. For the event loop only; it reads and writes some hundred bytes, in a folder in memory.
 */
public final class StateFile {
    private static final String FILE_NAME = "pewtercourse-operators.json";
    private static final int MAX_BYTES = 1 << 20;

    private final Path file;
    // As last read or written here: a file that still holds this has not changed.
    private byte[] lastContent = {};

    /** A file in {@code folder}, which need not exist. */
    public StateFile(Path folder) {
        file = folder.resolve(FILE_NAME);
    }

    /** The state, if the file has changed since it was last read or written here and can be used. */
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

    /** Replaces the file. False if it can't be written, so that no other process learns of the state; that is logged. */
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
