package pewtercourse.config;

import java.util.Map;

/** Reads single values of a JSON file; what can't be used is a {@link ConfigException} that names the key. */
public final class JsonFields {
    private JsonFields() {}

    /** Why a key can't be used: it has another name by now, by {@code renamed} (old to new); or else {@code why}. */
    public static String unusable(String key, Map<String, String> renamed, String why) {
        return renamed.containsKey(key) ? "is called '" + renamed.get(key) + "' now" : why;
    }

    /**
     * A number within bounds.
     *
     * @param otherwise what counts where there is none; not a number where it has to be there
     */
    public static double number(String key, Object value, double otherwise, double least, double most) {
        if (value == null && Double.isNaN(otherwise)) {
            throw new ConfigException(key, "missing");
        }
        if (value != null && !(value instanceof Number)) {
            throw new ConfigException(key, "'" + value + "' is not a number");
        }
        double number = value == null ? otherwise : ((Number) value).doubleValue();
        if (!(number >= least && number <= most)) {
            throw new ConfigException(key, "is not from " + least + " to " + most);
        }
        return number;
    }
}
