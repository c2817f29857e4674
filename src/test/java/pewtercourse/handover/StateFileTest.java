package pewtercourse.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StateFileTest {
    private static final OperatorState STATE =
            new OperatorState(7, true, Map.of("s-1", 5L, "s-2", 6L), Map.of("s-3", 9L));

    @TempDir
    Path folder;

    @Test
    void aStateWrittenByOneProcessIsReadOnceByAnother() {
        StateFile firstProcess = new StateFile(folder);
        StateFile secondProcess = new StateFile(folder);
        assertEquals(Optional.empty(), secondProcess.readIfChanged(), "there is no file yet");

        assertTrue(firstProcess.write(STATE));
        assertEquals(
                Optional.empty(), firstProcess.readIfChanged(), "a process must not read its own content as a change");
        assertEquals(Optional.of(STATE), secondProcess.readIfChanged());
        assertEquals(Optional.empty(), secondProcess.readIfChanged());

        OperatorState later = new OperatorState(8, false, Map.of(), Map.of());
        assertTrue(secondProcess.write(later));
        assertEquals(Optional.of(later), firstProcess.readIfChanged());
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
    void unusableContentIsIgnoredAndReplaced(String content) throws Exception {
        Files.writeString(folder.resolve("pewtercourse-operators.json"), content);
        StateFile file = new StateFile(folder);

        assertEquals(Optional.empty(), file.readIfChanged());

        assertTrue(file.write(STATE));
        assertEquals(Optional.of(STATE), new StateFile(folder).readIfChanged());
    }
}
