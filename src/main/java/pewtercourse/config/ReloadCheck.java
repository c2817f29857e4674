package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/**
 * Checks at a reload whether a file can replace the running one. Rejects files that are truncated or lack a key: the
 * default of the missing key would change the director without anybody's intent.
 */
final class ReloadCheck {
    // These keys differ in each file and only matter at a start.
    private static final Set<String> UNCHECKED_KEYS = Set.of("known", "seed");

    private ReloadCheck() {}

    /**
     * Compares the keys and types of both files.
     *
     * @throws ConfigException if a key is missing or has another type; the message names the first one
     */
    static void check(JsonObject running, JsonObject next) {
        for (String key : running.fieldNames()) {
            if (!UNCHECKED_KEYS.contains(key)) {
                checkKey(key, running.getValue(key), next.getValue(key), next.containsKey(key));
            }
        }
    }

    private static void checkKey(String path, Object oldValue, Object newValue, boolean present) {
        if (oldValue == null) {
            return;
        }
        if (!present || newValue == null) {
            throw new ConfigException(path, "missing, and the running configuration has it");
        }
        if (!typeName(oldValue).equals(typeName(newValue))) {
            throw new ConfigException(path, "is " + typeName(newValue) + " where " + typeName(oldValue) + " was");
        }
        if (path.equals("settings.Classes") && oldValue instanceof JsonArray running) {
            checkClasses(path, running, (JsonArray) newValue);
        } else if (oldValue instanceof JsonObject object) {
            for (String key : object.fieldNames()) {
                checkKey(
                        path + "." + key,
                        object.getValue(key),
                        ((JsonObject) newValue).getValue(key),
                        ((JsonObject) newValue).containsKey(key));
            }
        }
    }

    // Classes may be added and removed. Each class of the new file needs the keys that all running classes have.
    private static void checkClasses(String path, JsonArray running, JsonArray next) {
        JsonObject first = running.isEmpty() ? new JsonObject() : running.getJsonObject(0);
        Set<String> commonKeys = new HashSet<>(first.fieldNames());
        running.forEach(item -> commonKeys.retainAll(((JsonObject) item).fieldNames()));
        for (int i = 0; i < next.size(); i++) {
            if (!(next.getValue(i) instanceof JsonObject requestClass)) {
                throw new ConfigException(
                        path + "." + i, "is " + typeName(next.getValue(i)) + " where an object is due");
            }
            for (String key : first.fieldNames()) {
                if (commonKeys.contains(key)) {
                    checkKey(
                            path + "." + i + "." + key,
                            first.getValue(key),
                            requestClass.getValue(key),
                            requestClass.containsKey(key));
                }
            }
        }
    }

    private static String typeName(Object value) {
        return value instanceof JsonObject
                ? "an object"
                : value instanceof JsonArray
                        ? "a list"
                        : value instanceof Number
                                ? "a number"
                                : value instanceof Boolean ? "true or false" : value == null ? "nothing" : "text";
    }
}
