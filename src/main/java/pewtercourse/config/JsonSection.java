package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One object of a JSON configuration file and its path there. An invalid value is reported as a {@link ConfigException}
 * that names the key with its path from the root of the file.
 *
 * @param path prefix of a key's name in messages: empty, or ends with a dot
 * @param json the object
 */
record JsonSection(String path, JsonObject json) {
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
    private static final String NAME_PROBLEM = "' is not up to 64 letters, digits, '.', '_' and '-'";
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Returns the key with its path from the root of the file. */
    String pathOf(String key) {
        return path + key;
    }

    ConfigException invalid(String key, String problem) {
        return new ConfigException(pathOf(key), problem);
    }

    /**
     * Rejects any key that is not among {@code known}.
     *
     * @param renamed former keys with their present names; the message for a former key gives the present one
     */
    void requireKnownKeys(Set<String> known, Map<String, String> renamed) {
        json.fieldNames().stream()
                .filter(key -> !known.contains(key))
                .sorted()
                .findFirst()
                .ifPresent(key -> {
                    throw invalid(key, JsonFields.unusable(key, renamed, "is no key of this file"));
                });
    }

    double requiredNumber(String key, double min, double max) {
        return number(key, Double.NaN, min, max);
    }

    double number(String key, double defaultValue, double min, double max) {
        return JsonFields.number(pathOf(key), json.getValue(key), defaultValue, min, max);
    }

    /** Reads a number without bounds. */
    double number(String key, double defaultValue) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof Number)) {
            throw invalid(key, "'" + value + "' is not a number");
        }
        return value == null ? defaultValue : ((Number) value).doubleValue();
    }

    /** Like {@link #micros}, but the message gives the bounds as whole numbers. */
    long microsBetween(String key, long defaultMillis, long minMillis, long maxMillis) {
        double millis = number(key, defaultMillis);
        if (millis < minMillis || millis > maxMillis) {
            throw invalid(key, "is not from " + minMillis + " to " + maxMillis);
        }
        return (long) (millis * MICROS_PER_SECOND / MILLIS_PER_SECOND);
    }

    /** Reads a time in milliseconds and returns microseconds. */
    long micros(String key, double defaultMillis, double minMillis, double maxMillis) {
        return (long) (number(key, defaultMillis, minMillis, maxMillis) * MICROS_PER_MILLI);
    }

    /** Reads a required name. */
    String requiredName(String key) {
        return asName(pathOf(key), json.getValue(key));
    }

    String name(String key, String defaultValue) {
        return json.getValue(key) == null ? defaultValue : requiredName(key);
    }

    /** Reads a list of distinct names, in the order of the file; empty if the key is absent. */
    List<String> distinctNames(String key) {
        List<String> names = new ArrayList<>();
        JsonArray list = optionalList(key);
        for (int i = 0; i < list.size(); i++) {
            String element = key + "[" + i + "]";
            String name = asName(pathOf(element), list.getValue(i));
            if (names.contains(name)) {
                throw invalid(element, "is there twice");
            }
            names.add(name);
        }
        return names;
    }

    private static String asName(String fullPath, Object value) {
        if (value == null) {
            throw new ConfigException(fullPath, "missing");
        }
        if (!(value instanceof String name) || !name.matches(NAME_PATTERN)) {
            throw new ConfigException(fullPath, "'" + value + NAME_PROBLEM);
        }
        return name;
    }

    /** Reads a required list. */
    JsonArray requiredList(String key) {
        if (!(json.getValue(key) instanceof JsonArray list)) {
            throw invalid(key, "is not a list");
        }
        return list;
    }

    /** Reads a list; empty if the key is absent. */
    JsonArray optionalList(String key) {
        return json.getValue(key) == null ? new JsonArray() : requiredList(key);
    }

    /** Returns the object at an index of a list. */
    JsonSection element(String key, JsonArray list, int index) {
        String elementPath = pathOf(key + "[" + index + "].");
        if (!(list.getValue(index) instanceof JsonObject object)) {
            throw new ConfigException(elementPath, "is not an object");
        }
        return new JsonSection(elementPath, object);
    }
}
