package pewtercourse.config;

/** A setting that can't be used; the message begins with the faulty key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String key, String what) {
        super(key + ": " + what);
    }
}
