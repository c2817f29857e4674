package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One object of a JSON configuration file and its place there. What can't be used is a {@link ConfigException} that
 * names the key with its path from the root of the file.
 *
 * @param path what precedes a key's name in messages: empty, or ends in a dot
 * @param json the object
 */
record JsonSection(String path, JsonObject json) {
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
    private static final String NAME_PROBLEM = "' is not up to 64 letters, digits, '.', '_' and '-'";
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The key with its path from the root of the file. */
    String pathOf(String key) {
        return path + key;
    }

    ConfigException invalid(String key, String problem) {
        return new ConfigException(pathOf(key), problem);
    }

    /**
     * Checks that there are no other keys than these.
     *
     * @param renamed former keys with their present names, which the message for a former one tells
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

    double number(String key, double otherwise, double min, double max) {
        return JsonFields.number(pathOf(key), json.getValue(key), otherwise, min, max);
    }

    /** A number without bounds. */
    double number(String key, double otherwise) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof Number)) {
            throw invalid(key, "'" + value + "' is not a number");
        }
        return value == null ? otherwise : ((Number) value).doubleValue();
    }

    /** As {@link #micros}; a message tells the bounds as whole numbers. */
    long microsBetween(String key, long otherwiseMillis, long minMillis, long maxMillis) {
        double millis = number(key, otherwiseMillis);
        if (millis < minMillis || millis > maxMillis) {
            throw invalid(key, "is not from " + minMillis + " to " + maxMillis);
        }
        return (long) (millis * MICROS_PER_SECOND / MILLIS_PER_SECOND);
    }

    /** A time that the file has in milliseconds, in microseconds. */
    long micros(String key, double otherwiseMillis, double minMillis, double maxMillis) {
        return (long) (number(key, otherwiseMillis, minMillis, maxMillis) * MICROS_PER_MILLI);
    }

    /** A name that has to be there. */
    String requiredName(String key) {
        return asName(pathOf(key), json.getValue(key));
    }

    String name(String key, String otherwise) {
        return json.getValue(key) == null ? otherwise : requiredName(key);
    }

    /** A list of names without repetition, in its order; empty if the key is not there. */
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

    /** A list that has to be there. */
    JsonArray requiredList(String key) {
        if (!(json.getValue(key) instanceof JsonArray list)) {
            throw invalid(key, "is not a list");
        }
        return list;
    }

    /** A list; empty if the key is not there. */
    JsonArray optionalList(String key) {
        return json.getValue(key) == null ? new JsonArray() : requiredList(key);
    }

    /** One object of a list. */
    JsonSection element(String key, JsonArray list, int index) {
        String elementPath = pathOf(key + "[" + index + "].");
        if (!(list.getValue(index) instanceof JsonObject object)) {
            throw new ConfigException(elementPath, "is not an object");
        }
        return new JsonSection(elementPath, object);
    }
}
