package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares texts with those recorded in {@code src/test/resources/interfaces}. Each text describes an interface that
 * operators and their scripts use. A text that differs is written to {@code target/interfaces} for comparison.
 */
public final class GoldenText {
    private static final Path RECORDED = Path.of("src/test/resources/interfaces");
    private static final Path ACTUAL = Path.of("target/interfaces");

    private GoldenText() {}

    /** Fails unless {@code actual} equals the content of the recorded file {@code name}. */
    public static void assertRecorded(String name, String actual) throws IOException {
        Path file = RECORDED.resolve(name);
        String expected = Files.exists(file) ? Files.readString(file) : "";
        if (!expected.equals(actual)) {
            Files.createDirectories(ACTUAL);
            Files.writeString(ACTUAL.resolve(name), actual);
        }
        assertEquals(expected, actual, "compare " + ACTUAL.resolve(name) + " with " + file);
    }

    /**
     * Describes JSON values by one line for each key path with the types of its values. The items of a list share the path
     * {@code []}. The keys of objects at {@code mapPaths} are names chosen by operators and become {@code *}.
     */
    public static String shape(Set<String> mapPaths, Iterable<JsonObject> values) {
        Map<String, Set<String>> types = new TreeMap<>();
        values.forEach(value -> addShape(types, mapPaths, "", value));
        StringBuilder text = new StringBuilder();
        types.forEach((path, typeNames) -> text.append(path)
                .append(": ")
                .append(String.join("|", typeNames))
                .append('\n'));
        return text.toString();
    }

    private static void addShape(Map<String, Set<String>> types, Set<String> mapPaths, String path, Object value) {
        types.computeIfAbsent(path.isEmpty() ? "(answer)" : path, p -> new TreeSet<>())
                .add(type(value));
        if (value instanceof JsonObject object) {
            String prefix = path.isEmpty() ? "" : path + ".";
            for (String key : object.fieldNames()) {
                addShape(types, mapPaths, prefix + (mapPaths.contains(path) ? "*" : key), object.getValue(key));
            }
        } else if (value instanceof JsonArray list) {
            for (int i = 0; i < list.size(); i++) {
                addShape(types, mapPaths, path + "[]", list.getValue(i));
            }
        }
    }

    private static String type(Object value) {
        if (value == null) {
            return "null";
        }
        if (value instanceof JsonObject) {
            return "object";
        }
        if (value instanceof JsonArray) {
            return "list";
        }
        if (value instanceof Number) {
            return "number";
        }
        return value instanceof Boolean ? "boolean" : "string";
    }
}
