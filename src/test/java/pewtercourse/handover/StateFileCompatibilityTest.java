package pewtercourse.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.Fixtures;

/** The file that the two processes of an upgrade share, as the older version wrote it. */
class StateFileCompatibilityTest {
    private static final String FOLDER = "operator-state";
    private static final long AT_MS = 1_700_000_000_000L;
    private static final OperatorState STATE = new OperatorState(
            4_242,
            true,
            Map.of("cache-2", AT_MS + 2, "cache-1", AT_MS + 1),
            Map.of("cache-4", AT_MS + 4, "cache-3", AT_MS + 3));

    @TempDir
    Path folder;

    @Test
    void isReadWithItsContent() throws Exception {
        assertEquals(Optional.of(STATE), new StateFile(Fixtures.copy(FOLDER, folder)).readIfChanged());
    }

    @Test
    void isWrittenWithTheSameBytes() throws Exception {
        assertTrue(new StateFile(folder).write(STATE));
        Fixtures.assertFolder(FOLDER, Fixtures.files(folder));
    }
}
