package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether a file that comes at SIGHUP can take the place of the running one. Guards against files that are cut short or
 * lack a key: a default in its place would change the director without anybody having said so.
 */
final class ReloadCheck {
    // New with each file, and only of use at a start.
    private static final Set<String> FREE = Set.of("known", "seed");

    private ReloadCheck() {}

    /** Throws a ConfigException that names the first key that is missing or of another type. */
    static void check(JsonObject running, JsonObject next) {
        for (String key : running.fieldNames()) {
            if (!FREE.contains(key)) {
                same(key, running.getValue(key), next.getValue(key), next.containsKey(key));
            }
        }
    }

    private static void same(String path, Object was, Object is, boolean there) {
        if (was == null) {
            return;
        }
        if (!there || is == null) {
            throw new ConfigException(path, "missing, and the running configuration has it");
        }
        if (!kind(was).equals(kind(is))) {
            throw new ConfigException(path, "is " + kind(is) + " where " + kind(was) + " was");
        }
        if (path.equals("settings.Classes") && was instanceof JsonArray before) {
            classes(path, before, (JsonArray) is);
        } else if (was instanceof JsonObject o) {
            for (String key : o.fieldNames()) {
                same(
                        path + "." + key,
                        o.getValue(key),
                        ((JsonObject) is).getValue(key),
                        ((JsonObject) is).containsKey(key));
            }
        }
    }

    // Classes come and go: what all of the running ones have, each needs.
    private static void classes(String path, JsonArray before, JsonArray next) {
        JsonObject first = before.isEmpty() ? new JsonObject() : before.getJsonObject(0);
        Set<String> all = new HashSet<>(first.fieldNames());
        before.forEach(c -> all.retainAll(((JsonObject) c).fieldNames()));
        for (int i = 0; i < next.size(); i++) {
            if (!(next.getValue(i) instanceof JsonObject c)) {
                throw new ConfigException(path + "." + i, "is " + kind(next.getValue(i)) + " where an object is due");
            }
            for (String key : first.fieldNames()) {
                if (all.contains(key)) {
                    same(path + "." + i + "." + key, first.getValue(key), c.getValue(key), c.containsKey(key));
                }
            }
        }
    }

    private static String kind(Object value) {
        return value instanceof JsonObject
                ? "an object"
                : value instanceof JsonArray
                        ? "a list"
                        : value instanceof Number
                                ? "a number"
                                : value instanceof Boolean ? "true or false" : value == null ? "nothing" : "text";
    }
}
