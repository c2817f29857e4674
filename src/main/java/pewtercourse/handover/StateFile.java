package pewtercourse.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import pewtercourse.Log;

/**
 * {@link OperatorState} in a small file that all processes of a director can see. It is written whole beside its place
 * and moved there, so that nobody reads a part. Some hundred bytes in memory: read and written on the event loop.
 */
public final class StateFile {
    private static final String NAME = "pewtercourse-operators.json";
    private static final int BYTES_MOST = 1 << 20;

    private final Path file;
    private byte[] seen = {};

    public StateFile(Path folder) {
        file = folder.resolve(NAME);
    }

    /** The state if it has changed since it was last read or written here and can be used, else null. */
    public OperatorState changed() {
        byte[] bytes;
        try {
            bytes = Files.size(file) <= BYTES_MOST ? Files.readAllBytes(file) : new byte[0];
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            Log.counted("state.unreadable", "file", file, "error", e);
            return null;
        }
        if (Arrays.equals(bytes, seen)) {
            return null;
        }
        seen = bytes;
        try {
            return OperatorState.decode(new String(bytes, StandardCharsets.UTF_8));
        } catch (RuntimeException e) {
            Log.warn("state.ignored", "file", file, "error", e.getMessage());
            return null;
        }
    }

    /** False if it could not be written: then no other process learns of it. */
    public boolean write(OperatorState state) {
        byte[] bytes = state.encode().getBytes(StandardCharsets.UTF_8);
        Path part = file.resolveSibling(NAME + "." + state.pid());
        try {
            Files.write(part, bytes);
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            seen = bytes;
            return true;
        } catch (IOException e) {
            Log.warn("state.not_written", "file", file, "error", e);
            return false;
        }
    }
}
