package pewtercourse;

import java.util.HashMap;
import java.util.Map;

/** Log lines on standard error: level, name of the event, then key=value pairs. */
public final class Log {
    private static final class Second {
        long at;
        int more;
    }

    private static final Map<String, Second> COUNTED = new HashMap<>(); // One for each event that is counted.

    private Log() {}

    public static void info(String event, Object... pairs) {
        write("INFO", event, pairs);
    }

    public static void warn(String event, Object... pairs) {
        write("WARN", event, pairs);
    }

    /**
     * For what others can cause at any rate: the first of a second is written, the others are counted and told
     * with the next line. Guards against clients that send bad input at full speed, each line of which costs time.
     */
    public static synchronized void counted(String event, Object... pairs) {
        Second s = COUNTED.computeIfAbsent(event, e -> new Second());
        long now = System.currentTimeMillis() / 1000;
        if (now == s.at) {
            s.more++;
            return;
        }
        Object[] all = java.util.Arrays.copyOf(pairs, pairs.length + 2);
        all[pairs.length] = "more_before";
        all[pairs.length + 1] = s.more;
        s.at = now;
        s.more = 0;
        write("WARN", event, all);
    }

    /** Something that should not happen: with its stack trace. */
    public static void error(String event, Throwable e) {
        write("ERROR", event, "error", e);
        e.printStackTrace();
    }

    private static void write(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder()
                .append(System.currentTimeMillis())
                .append(' ')
                .append(level)
                .append(' ')
                .append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        System.err.println(line.toString().replace('\n', ' '));
    }
}
