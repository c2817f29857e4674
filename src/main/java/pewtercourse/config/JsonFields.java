package pewtercourse.config;

import java.util.Map;

/** Reads single values of a JSON file; an invalid one is reported as a {@link ConfigException} that names the key. */
public final class JsonFields {
    private JsonFields() {}

    /** Explains an invalid key: its new name if {@code renamed} (old names to new ones) has it, else {@code otherReason}. */
    public static String unusable(String key, Map<String, String> renamed, String otherReason) {
        return renamed.containsKey(key) ? "is called '" + renamed.get(key) + "' now" : otherReason;
    }

    /**
     * Reads a number within bounds.
     *
     * @param defaultValue the result if the key is absent; NaN if the key is required
     */
    public static double number(String key, Object value, double defaultValue, double min, double max) {
        if (value == null && Double.isNaN(defaultValue)) {
            throw new ConfigException(key, "missing");
        }
        if (value != null && !(value instanceof Number)) {
            throw new ConfigException(key, "'" + value + "' is not a number");
        }
        double number = value == null ? defaultValue : ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            throw new ConfigException(key, "is not from " + min + " to " + max);
        }
        return number;
    }
}
