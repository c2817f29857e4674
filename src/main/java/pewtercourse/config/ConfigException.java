package pewtercourse.config;

/** Thrown for an invalid setting; the message begins with its key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }
}
