package pewtercourse.zone;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Adds up the bytes of answers by class, route and use; bytes known for certain and estimated bytes are kept apart. Uses no
 * sockets. The number of lines is bounded, because the classes are those of the settings and there are few routes.
 */
public final class Account {
    /** What the bytes of an answer were used for. */
    public enum Use {
        SERVED,
        LATE,
        WASTED
    }

    /** The key of one line of the account: a class, a route and the use of the bytes. */
    public record Line(String requestClass, Route route, Use use) {
        private static final Comparator<Line> ORDER = Comparator.comparing(Line::requestClass)
                .thenComparing(line -> line.route.kind())
                .thenComparing(line -> line.route.steps())
                .thenComparing(Line::use);
    }

    /**
     * The answers and bytes of one line; {@code certain} counts the bytes of complete answers, {@code estimated} the bytes
     * that may have crossed in addition.
     */
    public record Sum(long answers, long certain, long estimated) {
        private static final Sum NONE = new Sum(0, 0, 0);
    }

    private final Map<Line, Sum> lines = new TreeMap<>(Line.ORDER);

    /** Adds a complete answer whose bytes are known to have come on this route. */
    public void addCertain(String requestClass, Route route, Use use, long bytes) {
        add(new Line(requestClass, route, use), bytes, 0);
    }

    /**
     * Adds bytes that may have come on this route: those of an attempt that failed midway or was cancelled, or of a fill that
     * may have been joined to another.
     */
    public void addEstimated(String requestClass, Route route, Use use, long bytes) {
        add(new Line(requestClass, route, use), 0, bytes);
    }

    private void add(Line line, long certain, long estimated) {
        if (certain < 0 || estimated < 0) {
            throw new IllegalArgumentException("bytes below 0");
        }
        Sum sum = lines.getOrDefault(line, Sum.NONE);
        lines.put(line, new Sum(sum.answers + 1, sum.certain + certain, sum.estimated + estimated));
    }

    /** Passes each line to {@code consumer} in a fixed order. */
    public void forEachLine(Consumer<Map.Entry<Line, Sum>> consumer) {
        lines.entrySet().forEach(consumer);
    }

    /** Returns the certain and estimated bytes by kind of crossing, which a budget would have been charged. */
    public Cost totalCost() {
        long link = 0;
        long hubStep = 0;
        long origin = 0;
        for (Map.Entry<Line, Sum> line : lines.entrySet()) {
            Cost cost = line.getKey()
                    .route()
                    .cost(line.getValue().certain() + line.getValue().estimated());
            link += cost.link();
            hubStep += cost.hubStep();
            origin += cost.origin();
        }
        return new Cost(link, hubStep, origin);
    }
}
