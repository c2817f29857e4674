package pewtercourse.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.Fixtures;

/** Compares the file that two processes of an upgrade share with a fixture written by an older version. */
class StateFileCompatibilityTest {
    private static final String FOLDER = "operator-state";
    private static final long BASE_TIME_MS = 1_700_000_000_000L;
    private static final OperatorState STATE = new OperatorState(
            4_242,
            true,
            Map.of("cache-2", BASE_TIME_MS + 2, "cache-1", BASE_TIME_MS + 1),
            Map.of("cache-4", BASE_TIME_MS + 4, "cache-3", BASE_TIME_MS + 3));

    @TempDir
    Path folder;

    @Test
    void readsTheFileOfTheOlderVersion() throws Exception {
        assertEquals(Optional.of(STATE), new StateFile(Fixtures.copy(FOLDER, folder)).readIfChanged());
    }

    @Test
    void writesTheSameBytesAsTheOlderVersion() throws Exception {
        assertTrue(new StateFile(folder).write(STATE));
        Fixtures.assertFolder(FOLDER, Fixtures.files(folder));
    }
}
