package pewtercourse;

/** Log lines on standard error: level, name of the event, then key=value pairs. */
public final class Log {
    private Log() { }

    public static void info(String event, Object... pairs) {
        write("INFO", event, pairs);
    }

    public static void warn(String event, Object... pairs) {
        write("WARN", event, pairs);
    }

    /** Something that should not happen: with its stack trace. */
    public static void error(String event, Throwable e) {
        write("ERROR", event, "error", e);
        e.printStackTrace();
    }

    private static void write(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ').append(level)
                .append(' ').append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        System.err.println(line.toString().replace('\n', ' '));
    }
}
