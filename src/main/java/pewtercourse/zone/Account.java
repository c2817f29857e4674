package pewtercourse.zone;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What crossed, by class, route, and what became of it. What is known for certain and what is estimated stay apart.
 * Knows no sockets. Classes are those of the settings and routes are few, so that it holds a bounded number of lines.
 */
public final class Account {
    /** What an answer's bytes were good for. */
    public enum Use {
        SERVED,
        LATE,
        WASTED
    }

    /** One line of the account: a class, a route and what became of the bytes. */
    public record Line(String cls, Route route, Use use) {
        private static final Comparator<Line> ORDER = Comparator.comparing(Line::cls)
                .thenComparing(l -> l.route.kind())
                .thenComparing(l -> l.route.steps())
                .thenComparing(Line::use);
    }

    /** Bytes and answers of one line. {@code certain}: seen whole; {@code estimated}: thought to have crossed besides. */
    public record Sum(long answers, long certain, long estimated) {
        private static final Sum NONE = new Sum(0, 0, 0);
    }

    private final Map<Line, Sum> lines = new TreeMap<>(Line.ORDER);

    /** A whole answer of so many bytes that are known to have come on this route. */
    public void whole(String cls, Route route, Use use, long bytes) {
        add(new Line(cls, route, use), bytes, 0);
    }

    /**
     * Bytes that may have come on this route: an attempt that broke off or was withdrawn, or a fill that may have been
     * joined to another.
     */
    public void perhaps(String cls, Route route, Use use, long bytes) {
        add(new Line(cls, route, use), 0, bytes);
    }

    private void add(Line line, long certain, long estimated) {
        if (certain < 0 || estimated < 0) {
            throw new IllegalArgumentException("bytes below 0");
        }
        Sum s = lines.getOrDefault(line, Sum.NONE);
        lines.put(line, new Sum(s.answers + 1, s.certain + certain, s.estimated + estimated));
    }

    /** The lines in a fixed order. */
    public void each(Consumer<Map.Entry<Line, Sum>> to) {
        lines.entrySet().forEach(to);
    }

    /** What has crossed by kind, certain and estimated together: what a budget would have been charged. */
    public Cost crossed() {
        long link = 0, step = 0, origin = 0;
        for (Map.Entry<Line, Sum> e : lines.entrySet()) {
            Cost c = e.getKey()
                    .route()
                    .cost(e.getValue().certain() + e.getValue().estimated());
            link += c.link();
            step += c.hubStep();
            origin += c.origin();
        }
        return new Cost(link, step, origin);
    }
}
