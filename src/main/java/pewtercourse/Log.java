package pewtercourse;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Writes log lines to standard error: time in milliseconds, level, name of the event, then key=value pairs. */
public final class Log {
    /** When an event was last written, and the calls since then that were only counted. */
    private static final class Suppression {
        boolean written;
        long writtenNanos;
        int suppressed;
    }

    private static final long SUPPRESSION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final Map<String, Suppression> SUPPRESSIONS = new HashMap<>(); // By event.

    private Log() {}

    public static void info(String event, Object... pairs) {
        write("INFO", event, pairs);
    }

    public static void warn(String event, Object... pairs) {
        write("WARN", event, pairs);
    }

    /**
     * Writes a warning at most once a second per event. Further calls in that second are only counted, and the next
     * line gives their number as {@code more_before}. Used for events that others can cause at any rate: clients that
     * send invalid input at full speed would otherwise cost the time of a log line each.
     */
    public static synchronized void counted(String event, Object... pairs) {
        Suppression suppression = SUPPRESSIONS.computeIfAbsent(event, e -> new Suppression());
        long now = System.nanoTime();
        if (suppression.written && now - suppression.writtenNanos < SUPPRESSION_NANOS) {
            suppression.suppressed++;
            return;
        }
        Object[] pairsWithCount = java.util.Arrays.copyOf(pairs, pairs.length + 2);
        pairsWithCount[pairs.length] = "more_before";
        pairsWithCount[pairs.length + 1] = suppression.suppressed;
        suppression.written = true;
        suppression.writtenNanos = now;
        suppression.suppressed = 0;
        write("WARN", event, pairsWithCount);
    }

    /** Writes an unexpected error with its stack trace. */
    public static void error(String event, Throwable e) {
        write("ERROR", event, "error", e);
        e.printStackTrace();
    }

    private static void write(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder()
                .append(WallClock.unixMillis())
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
