package pewtercourse.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StateFileTest {
    @TempDir
    Path folder;

    private static final OperatorState STATE =
            new OperatorState(7, true, Map.of("s-1", 5L, "s-2", 6L), Map.of("s-3", 9L));

    @Test
    void whatOneProcessWritesAnotherReadsOnce() {
        StateFile one = new StateFile(folder), other = new StateFile(folder);
        assertNull(other.changed(), "there is none");
        assertTrue(one.write(STATE));
        assertNull(one.changed(), "its own words are no news");
        assertEquals(STATE, other.changed());
        assertNull(other.changed());
        OperatorState later = new OperatorState(8, false, Map.of(), Map.of());
        assertTrue(other.write(later));
        assertEquals(later, one.changed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{}",
                "{\"version\":2,\"pid\":1,\"standby\":false,\"out\":{},\"back\":{}}",
                "{\"version\":1,\"pid\":1,\"standby\":false,\"out\":[],\"back\":{}}",
                "{\"version\":1,\"pid\":1,\"standby\":\"no\",\"out\":{},\"back\":{}}",
                "{\"version\":1,\"pid\":1,\"standby\":false,\"out\":{\"s-1\":\"now\"},\"back\":{}}",
                "{\"version\":1,\"pid\":1,\"standby\":false,\"out\":{\"s-1\":5},\"ba"
            })
    void whatCanNotBeUsedIsIgnoredAndWrittenOver(String text) throws Exception {
        Files.writeString(folder.resolve("pewtercourse-operators.json"), text);
        StateFile file = new StateFile(folder);
        assertNull(file.changed());
        assertTrue(file.write(STATE));
        assertEquals(STATE, new StateFile(folder).changed());
    }
}
