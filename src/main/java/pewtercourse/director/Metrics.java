package pewtercourse.director;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import pewtercourse.decision.GiveUpReason;
import pewtercourse.decision.SlowStartStatus;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.ReadDelays;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryStage;
import pewtercourse.memory.ReadControl;

/**
 * Counts requests and formats the metrics that operators read. A request is open from the moment it is passed
 * on until it is answered or its client disconnects; a disconnect counts as failed. No other class counts
 * requests. Opens no sockets; confined to the event loop.
 */
public final class Metrics {
    /**
     * Current values of the metrics that other components keep.
     *
     * @param requestsWritten number of requests written to caches
     * @param registryEntries number of listed endpoints
     * @param outOfRotation   number of endpoints that are drained or ejected
     * @param acceptedConfigs number of reloaded configurations that were accepted
     * @param invalidConfigs  number of reloaded configurations that were invalid
     * @param givenUp         number of requests that the router rejected or failed, for each reason
     * @param slowStarts      the endpoints in slow start, by name
     * @param held            the bytes held for clients and caches
     * @param readControl     the pauses of reading from caches
     * @param delays          how long requests may have waited before they were read
     * @param overloadRejections number of requests rejected because they were read too late
     */
    public record GaugeValues(
            long requestsWritten,
            int registryEntries,
            int outOfRotation,
            long acceptedConfigs,
            long invalidConfigs,
            Map<GiveUpReason, Long> givenUp,
            Map<String, SlowStartStatus> slowStarts,
            HeldBytes held,
            ReadControl readControl,
            ReadDelays delays,
            long overloadRejections) {}

    private static final long MICROS_PER_MILLI = 1_000;

    private static final class ClassCounters {
        long fulfilled;
        long throttled;
        long faulted;
    }

    private final Map<String, ClassCounters> countersByClass = new TreeMap<>();
    private int openRequests;

    /** Adds classes of requests: their counters are reported from now on, even while they are 0. */
    public void registerClasses(Iterable<String> classNames) {
        classNames.forEach(className -> countersByClass.computeIfAbsent(className, name -> new ClassCounters()));
    }

    /**
     * Returns a handler that counts the requests that it passes on to {@code handler}. Requests of a class that
     * is not known are passed on without being counted, because faulty clients can send any name.
     */
    public RequestHandler countRequests(RequestHandler handler, Predicate<String> isKnownClass) {
        return new RequestHandler() {
            @Override
            public Runnable handle(ClientRequest request, ClientExchange client) {
                if (!isKnownClass.test(request.className())) {
                    return handler.handle(request, client);
                }
                registerClasses(List.of(request.className()));
                CountedRequest counted = new CountedRequest(countersByClass.get(request.className()));
                Runnable onDisconnect = handler.handle(request, counted.countAnswer(client));
                return () -> {
                    counted.finish(Answer.Kind.FAILED); // The client disconnected before it was answered.
                    onDisconnect.run();
                };
            }

            @Override
            public boolean ready() {
                return handler.ready();
            }
        };
    }

    private final class CountedRequest {
        private final ClassCounters counters;
        private boolean finished;

        CountedRequest(ClassCounters counters) {
            this.counters = counters;
            openRequests++;
        }

        ClientExchange countAnswer(ClientExchange client) {
            return new ClientExchange() {
                @Override
                public void accept(Answer answer) {
                    finish(answer.kind());
                    client.accept(answer);
                }

                @Override
                public boolean readArrived() {
                    return client.readArrived();
                }
            };
        }

        boolean close() {
            boolean first = !finished;
            openRequests -= first ? 1 : 0;
            finished = true;
            return first;
        }

        void finish(Answer.Kind kind) {
            if (!close()) {
                return; // It was counted when it finished before.
            }
            switch (kind) {
                case SERVED, SAME -> counters.fulfilled++;
                case REFUSED -> counters.throttled++;
                case FAILED -> counters.faulted++;
            }
        }
    }

    /** Number of requests that are neither answered nor disconnected. */
    public int openRequests() {
        return openRequests;
    }

    /** Formats all metrics, one NAME=VALUE a line. */
    public String format(GaugeValues gauges) {
        StringBuilder text = new StringBuilder();
        countersByClass.forEach((className, counters) -> {
            String prefix = "operations." + className + '.';
            appendLine(
                    appendLine(
                            appendLine(text, prefix + "fulfilled", counters.fulfilled),
                            prefix + "throttled",
                            counters.throttled),
                    prefix + "faulted",
                    counters.faulted);
        });
        appendLine(text, "relayed", gauges.requestsWritten());
        appendLine(text, "open_requests", openRequests);
        appendLine(text, "registry_entries", gauges.registryEntries());
        appendLine(text, "out_of_rotation", gauges.outOfRotation());
        appendLine(text, "cfg_accepted", gauges.acceptedConfigs());
        appendLine(text, "cfg_invalid", gauges.invalidConfigs());
        for (GiveUpReason reason : GiveUpReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            appendLine(text, "given_up." + name, gauges.givenUp().getOrDefault(reason, 0L));
        }
        appendLine(text, "slow_start.endpoints", gauges.slowStarts().size());
        gauges.slowStarts().forEach((name, status) -> appendSlowStart(text, "slow_start." + name + '.', status));
        appendMemory(text, gauges.held(), gauges.readControl());
        appendLine(text, "read_delays.late", gauges.delays().lateReads());
        appendLine(text, "read_delays.longest_ms", gauges.delays().longestWaitMicros() / MICROS_PER_MILLI);
        appendLine(text, "overload.rejections", gauges.overloadRejections());
        appendLine(text, "clients_left", gauges.delays().clientsLeft());
        return text.toString();
    }

    private static void appendMemory(StringBuilder text, HeldBytes held, ReadControl readControl) {
        for (MemoryStage stage : MemoryStage.values()) {
            String prefix = "memory." + stage.name().toLowerCase(Locale.ROOT) + '.';
            appendLine(text, prefix + "bytes", held.bytes(stage));
            appendLine(text, prefix + "peak_bytes", held.peakBytes(stage));
            appendLine(text, prefix + "rejections", held.rejections(stage));
        }
        appendLine(text, "memory.request_limit_bytes", held.limits().requestBytes());
        appendLine(text, "memory.response_limit_bytes", held.limits().responseBytes());
        appendLine(text, "memory.paused_reads", readControl.pausedReads());
        appendLine(text, "memory.pauses", readControl.pauses());
    }

    private static void appendSlowStart(StringBuilder text, String prefix, SlowStartStatus status) {
        appendLine(text, prefix + "age_ms", status.ageMicros() / MICROS_PER_MILLI);
        appendLine(text, prefix + "budget_ms", status.budgetMicros() / MICROS_PER_MILLI);
        appendLine(text, prefix + "used_ms", status.usedMicros() / MICROS_PER_MILLI);
        appendLine(text, prefix + "refusals", status.refusals());
    }

    private static StringBuilder appendLine(StringBuilder text, String name, long value) {
        return text.append(name).append('=').append(value).append('\n');
    }
}
