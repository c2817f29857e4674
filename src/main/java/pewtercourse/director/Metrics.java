package pewtercourse.director;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;

/**
 * What operators read. Requests are counted here and nowhere else: each is open from when it is handed on until its one
 * answer or its client's leaving, which counts as failed. Knows no sockets.
 */
public final class Metrics {
    /** The figures that others own, as of now. */
    public record GaugeValues(long relayed, int registryEntries, int outOfRotation, long cfgAccepted, long cfgInvalid) {}

    private static final class Operations {
        long fulfilled, throttled, faulted;
    }

    private final Map<String, Operations> classes = new TreeMap<>();
    private int open;

    /** Classes that the settings have: shown from now on, also while nothing was asked. */
    public void registerClasses(Iterable<String> names) {
        names.forEach(n -> classes.computeIfAbsent(n, c -> new Operations()));
    }

    /** Counts what goes to {@code behind}. A class that {@code known} lacks is no class: bad clients make up any. */
    public RequestHandler countRequests(RequestHandler behind, Predicate<String> known) {
        return new RequestHandler() {
            @Override
            public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
                if (!known.test(request.className())) {
                    return behind.handle(request, answer);
                }
                registerClasses(List.of(request.className()));
                One one = new One(classes.get(request.className()));
                Runnable gone = behind.handle(request, a -> {
                    one.answered(a.kind());
                    answer.accept(a);
                });
                return () -> {
                    one.answered(Answer.Kind.FAILED); // Withdrawn before it was answered: nobody was served.
                    gone.run();
                };
            }

            @Override
            public boolean ready() {
                return behind.ready();
            }
        };
    }

    private final class One {
        private final Operations of;
        private boolean over;

        One(Operations of) {
            this.of = of;
            open++;
        }

        boolean end() {
            boolean first = !over;
            open -= first ? 1 : 0;
            over = true;
            return first;
        }

        void answered(Answer.Kind kind) {
            if (!end()) {
                return; // It ended before, and is counted.
            }
            switch (kind) {
                case SERVED, SAME -> of.fulfilled++;
                case REFUSED -> of.throttled++;
                case FAILED -> of.faulted++;
            }
        }
    }

    public int openRequests() {
        return open;
    }

    /** A line for each figure. */
    public String format(GaugeValues g) {
        StringBuilder out = new StringBuilder();
        classes.forEach((name, o) -> {
            String prefix = "operations." + name + '.';
            line(
                    line(line(out, prefix + "fulfilled", o.fulfilled), prefix + "throttled", o.throttled),
                    prefix + "faulted",
                    o.faulted);
        });
        line(out, "relayed", g.relayed());
        line(out, "open_requests", open);
        line(out, "registry_entries", g.registryEntries());
        line(out, "out_of_rotation", g.outOfRotation());
        line(out, "cfg_accepted", g.cfgAccepted());
        return line(out, "cfg_invalid", g.cfgInvalid()).toString();
    }

    private static StringBuilder line(StringBuilder to, String name, long value) {
        return to.append(name).append('=').append(value).append('\n');
    }
}
