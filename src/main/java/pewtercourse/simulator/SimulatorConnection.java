package pewtercourse.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.config.ConfigException;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.CacheStatus;
import pewtercourse.decision.CancelAttempt;
import pewtercourse.decision.ClientDisconnected;
import pewtercourse.decision.ContentPurged;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointUpdateKind;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.decision.FailRequest;
import pewtercourse.decision.GossipReceived;
import pewtercourse.decision.RejectRequest;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.Router;
import pewtercourse.decision.RouterAction;
import pewtercourse.decision.RouterEvent;
import pewtercourse.decision.RoutingEngine;
import pewtercourse.decision.SendAttempt;
import pewtercourse.decision.SendGossip;
import pewtercourse.decision.StartTimer;
import pewtercourse.decision.StreamStarted;
import pewtercourse.decision.TimerFired;
import pewtercourse.decision.WatchEndpoints;

/**
 * Speaks the line protocol of the simulator: reads batches of events, passes them to the routers of the simulated
 * instances and writes the actions that the routers return. Runs on the thread that calls {@link #run}.
 */
public final class SimulatorConnection {
    /** Thrown for a line that breaks the protocol; the message names the line and the field. */
    public static final class MalformedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    private static final int MAX_GOSSIP_BYTES = 256;

    /** A simulated director: its router, its settings and the events of the current batch. */
    private static final class Instance {
        Router router;
        SiteSettings site;
        List<RouterEvent> events = new ArrayList<>();
    }

    /** A ROW line of a DIRECTORY message: an endpoint before an instance's settings are applied to it. */
    private record EndpointRow(
            long id,
            String zone,
            String kind,
            int cell,
            EndpointLifecycle lifecycle,
            double weight,
            long onlineSinceMicros) {}

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<EndpointRow>> endpointLists = new HashMap<>();
    private final LinkedHashMap<Integer, Instance> instancesInBatch = new LinkedHashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String[] fields;

    /** Reads messages from {@code in} and writes the replies to {@code out}; closes neither. */
    public SimulatorConnection(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedException if a line breaks the protocol or the input ends inside a batch
     */
    public void run() throws IOException {
        long nowMicros = 0;
        boolean insideBatch = false;
        while (nextLine()) {
            String verb = fields[0];
            if (verb.isEmpty() && fields.length == 1) {
                continue;
            }
            if (verb.equals("ROUND")) {
                if (insideBatch) {
                    throw malformed("ROUND inside a batch");
                }
                insideBatch = true;
                nowMicros = millisField(1, "T");
            } else if (!insideBatch) {
                throw malformed("'" + abbreviate(verb) + "' outside a batch");
            } else if (verb.equals("EOB")) {
                insideBatch = false;
                answerBatch(nowMicros);
            } else {
                readEvent(verb);
            }
        }
        if (insideBatch) {
            throw malformed("input ends inside a batch");
        }
    }

    private boolean nextLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            return false;
        }
        lineNumber++;
        int tabCount = 0;
        for (int i = line.indexOf('\t'); i >= 0; i = line.indexOf('\t', i + 1)) {
            tabCount++;
        }
        fields = new String[tabCount + 1];
        int fieldStart = 0;
        for (int i = 0; i < tabCount; i++) {
            int fieldEnd = line.indexOf('\t', fieldStart);
            fields[i] = line.substring(fieldStart, fieldEnd);
            fieldStart = fieldEnd + 1;
        }
        fields[tabCount] = line.substring(fieldStart);
        return true;
    }

    private void answerBatch(long nowMicros) throws IOException {
        reply.setLength(0);
        for (Map.Entry<Integer, Instance> entry : instancesInBatch.entrySet()) {
            Instance instance = entry.getValue();
            if (instance.router == null) {
                continue;
            }
            for (RouterAction action : instance.router.handle(nowMicros, instance.events)) {
                write(reply, entry.getKey(), action);
            }
            instance.events = new ArrayList<>();
        }
        instancesInBatch.clear();
        reply.append("EOR\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void readEvent(String verb) throws IOException {
        switch (verb) {
            case "NEW_INSTANCE" -> startInstance();
            case "DIRECTORY" -> readDirectory();
            case "PEERS_KNOWN" -> {
                Instance instance = instance();
                EndpointUpdateKind kind = switch (text(4, "Mode")) {
                    case "diff" -> EndpointUpdateKind.DELTA;
                    case "snapshot" -> EndpointUpdateKind.SNAPSHOT;
                    case "disk" -> EndpointUpdateKind.CACHED;
                    case "error" -> EndpointUpdateKind.FAILED;
                    default ->
                        throw malformed(
                                "field Mode: '" + abbreviate(fields[4]) + "' is none of diff, snapshot, disk, error");
                };
                List<Endpoint> endpoints = new ArrayList<>();
                if (kind != EndpointUpdateKind.FAILED) {
                    List<EndpointRow> rows = endpointLists.get((int) integer(2, "SetId"));
                    if (rows == null) {
                        throw malformed("field SetId: no DIRECTORY was sent with the id " + fields[2]);
                    }
                    for (EndpointRow row : rows) {
                        endpoints.add(toEndpoint(instance, row));
                    }
                }
                instance.events.add(new EndpointsChanged(kind, endpoints));
            }
            case "NEW_REQUEST" -> {
                Instance instance = instance();
                Integer requestClass = instance.site.classes().get(text(3, "Profile"));
                if (requestClass == null) {
                    throw malformed("field Profile: '" + abbreviate(fields[3]) + "' is not in the settings");
                }
                int stateBits = (int) optionalNumber(10, "StateBits");
                instance.events.add(new RequestArrived(
                        requestId(2),
                        requestClass,
                        text(5, "Object"),
                        (int) optionalNumber(9, "Part"),
                        (int) optionalNumber(8, "LabelNo"),
                        optionalNumber(7, "LengthKb"),
                        millisField(6, "Expires"),
                        (stateBits & 2) != 0,
                        fields[2], // The wire shows no keys: each request counts as an operation of its own.
                        (stateBits & 4) != 0));
            }
            case "REMINDER" -> instance().events.add(new TimerFired(text(2, "Handle")));
            case "HEAD_RECEIVED" -> instance().events.add(new StreamStarted(requestId(2), (int) integer(3, "Trial")));
            case "RESULT" -> {
                AttemptOutcome outcome = parseOutcome(text(5, "Reason"));
                int remark = (int) optionalNumber(8, "Remark");
                CacheStatus[] cacheStatuses = CacheStatus.values();
                instance()
                        .events
                        .add(new AttemptFinished(
                                requestId(2),
                                (int) integer(3, "Trial"),
                                integer(4, "Node"),
                                outcome,
                                millisField(6, "Latency"),
                                flag(7, "Last"),
                                remark > 0 && remark < cacheStatuses.length
                                        ? cacheStatuses[remark]
                                        : CacheStatus.UNKNOWN));
            }
            case "INVALIDATED" ->
                instance()
                        .events
                        .add(new ContentPurged(
                                isAbsent(2) ? null : fields[2],
                                (int) optionalNumber(3, "BatchId"),
                                toMicros(optionalNumber(4, "Age"))));
            case "RETIRE" -> {
                instance();
                int instanceNumber = (int) integer(1, "I");
                instances.remove(instanceNumber);
                instancesInBatch.remove(instanceNumber);
            }
            case "MESSAGE" -> instance().events.add(new GossipReceived((int) integer(2, "OriginPeer"), hexBytes(3)));
            case "LEFT" -> instance().events.add(new ClientDisconnected(requestId(2)));
            case "HEALTH_RESULT" -> instance();
            default -> throw malformed("'" + abbreviate(verb) + "' is no message of the protocol");
        }
    }

    private void readDirectory() throws IOException {
        int id = (int) integer(1, "SetId");
        long rowCount = integer(2, "NodesList");
        List<EndpointRow> rows = new ArrayList<>();
        for (long i = 0; i < rowCount; i++) {
            if (!nextLine() || !fields[0].equals("ROW")) {
                throw malformed("field NodesList: " + rowCount + " ROW lines announced, " + i + " found");
            }
            EndpointLifecycle lifecycle = switch (text(5, "Lifecycle")) {
                case "Ready" -> EndpointLifecycle.READY;
                case "Terminating" -> EndpointLifecycle.DRAINING;
                case "Gone" -> EndpointLifecycle.GONE;
                default ->
                    throw malformed(
                            "field Lifecycle: '" + abbreviate(fields[5]) + "' is none of Ready, Terminating, Gone");
            };
            rows.add(new EndpointRow(
                    integer(1, "Node"),
                    text(2, "Campus"),
                    text(3, "Kind"),
                    (int) optionalNumber(4, "Cluster"),
                    lifecycle,
                    optionalNumber(6, "Weight"),
                    toMicros(optionalNumber(7, "OnlineSince"))));
        }
        endpointLists.put(id, rows);
    }

    private static Endpoint toEndpoint(Instance instance, EndpointRow row) {
        return instance.site.endpoint(
                row.id, row.zone, row.kind, row.cell, row.lifecycle, row.weight, row.onlineSinceMicros);
    }

    private void startInstance() {
        int instanceNumber = (int) integer(1, "I");
        long seed = integer(2, "Salt");
        Map<String, String> settings = new HashMap<>();
        for (int index = 3; index < fields.length; index++) {
            int equalsSign = fields[index].indexOf('=');
            if (equalsSign <= 0) {
                throw malformed("field Info: '" + abbreviate(fields[index]) + "' is not path=value");
            }
            settings.put(fields[index].substring(0, equalsSign), fields[index].substring(equalsSign + 1));
        }
        Instance instance = new Instance();
        try {
            instance.site = SiteSettings.read(settings);
        } catch (ConfigException e) {
            throw malformed("field " + e.getMessage());
        }
        instance.router = new RoutingEngine(instance.site.router(), seed);
        instances.put(instanceNumber, instance);
        instancesInBatch.remove(instanceNumber);
        instancesInBatch.put(instanceNumber, instance);
    }

    // Returns the instance of the field I and marks it as part of the current batch.
    private Instance instance() {
        int instanceNumber = (int) integer(1, "I");
        Instance instance = instances.get(instanceNumber);
        if (instance == null) {
            throw malformed("field I: no instance " + instanceNumber);
        }
        instancesInBatch.putIfAbsent(instanceNumber, instance);
        return instance;
    }

    private boolean isAbsent(int index) {
        return index >= fields.length || fields[index].isEmpty() || fields[index].equals("-");
    }

    private String text(int index, String name) {
        if (isAbsent(index)) {
            throw malformed("field " + name + " is missing");
        }
        return fields[index];
    }

    private double parseNumber(String value, String name) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // The exception below reports it.
        }
        throw malformed("field " + name + ": '" + abbreviate(value) + "' is not a number");
    }

    // Returns 0 if the field is absent.
    private double optionalNumber(int index, String name) {
        return isAbsent(index) ? 0 : parseNumber(fields[index], name);
    }

    private long integer(int index, String name) {
        String value = text(index, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("field " + name + ": '" + abbreviate(value) + "' is not a whole number");
        }
    }

    // Reads a time in milliseconds and returns microseconds.
    private long millisField(int index, String name) {
        return toMicros(parseNumber(text(index, name), name));
    }

    private static long toMicros(double ms) {
        return Math.round(ms * 1000);
    }

    private boolean flag(int index, String name) {
        String value = text(index, name);
        if (!value.equals("0") && !value.equals("1")) {
            throw malformed("field " + name + ": '" + abbreviate(value) + "' is neither 1 nor 0");
        }
        return value.equals("1");
    }

    private long requestId(int index) {
        String value = text(index, "Xid");
        try {
            if (value.length() == 16) {
                return Long.parseUnsignedLong(value, 16);
            }
        } catch (NumberFormatException e) {
            // The exception below reports it.
        }
        throw malformed("field Xid: '" + abbreviate(value) + "' is not 16 hex digits");
    }

    private byte[] hexBytes(int index) {
        if (isAbsent(index)) {
            return new byte[0];
        }
        String value = fields[index];
        byte[] decoded = new byte[value.length() / 2];
        for (int i = 0; i < value.length(); i++) {
            int digit = Character.digit(value.charAt(i), 16);
            if (digit < 0 || value.length() % 2 != 0) {
                throw malformed("field Content: not hex digits");
            }
            decoded[i / 2] = (byte) (decoded[i / 2] << 4 | digit);
        }
        return decoded;
    }

    private AttemptOutcome parseOutcome(String reason) {
        return switch (reason) {
            case "ok" -> AttemptOutcome.OK;
            case "error" -> AttemptOutcome.ERROR;
            case "full" -> AttemptOutcome.OVERLOADED;
            case "timeout" -> AttemptOutcome.TIMEOUT;
            case "connect_failed" -> AttemptOutcome.CONNECT_FAILED;
            case "reset" -> AttemptOutcome.RESET;
            case "cancelled" -> AttemptOutcome.CANCELLED;
            case "moot" -> AttemptOutcome.SUPERSEDED;
            case "miss" -> AttemptOutcome.MISS;
            default -> throw malformed("field Reason: '" + abbreviate(reason) + "' is no known outcome");
        };
    }

    private MalformedException malformed(String problem) {
        return new MalformedException("line " + lineNumber + ": " + problem);
    }

    private static String abbreviate(String value) {
        return value.length() <= 40 ? value : value.substring(0, 40) + "...";
    }

    /** Appends the line of one action. */
    static void write(StringBuilder out, int instance, RouterAction action) {
        if (action instanceof SendAttempt send) {
            startLine(out, "OBTAIN", instance);
            appendHex(out, send.requestId());
            out.append('\t').append(send.endpointId()).append('\t');
            appendMillis(out, send.timeout());
            out.append('\t')
                    .append(send.fillSourceId())
                    .append('\t')
                    .append(send.retentionRank())
                    .append('\t');
            appendMillis(out, send.maxAge());
            int mode = (send.coalesce() ? 1 : 0) + (send.onlyIfCached() ? 2 : 0) + (send.refreshInBackground() ? 8 : 0);
            out.append('\t').append(mode);
        } else if (action instanceof CancelAttempt cancel) {
            startLine(out, "REVOKE", instance);
            appendHex(out, cancel.requestId());
            out.append('\t').append(cancel.attempt());
        } else if (action instanceof RejectRequest reject) {
            startLine(out, "SAY_NO", instance);
            appendHex(out, reject.requestId());
            out.append('\t');
            appendMillis(out, reject.retryAfter());
        } else if (action instanceof FailRequest fail) {
            startLine(out, "FAIL", instance);
            appendHex(out, fail.requestId());
        } else if (action instanceof StartTimer timer) {
            startLine(out, "DEFER", instance).append(timer.name()).append('\t');
            appendMillis(out, timer.dueAt());
        } else if (action instanceof SendGossip gossip) {
            if (gossip.payload().length > MAX_GOSSIP_BYTES) {
                throw new IllegalArgumentException(
                        "gossip payload has " + gossip.payload().length + " bytes, the maximum is " + MAX_GOSSIP_BYTES);
            }
            startLine(out, "NOTIFY", instance).append(gossip.router()).append('\t');
            for (byte octet : gossip.payload()) {
                out.append(Character.forDigit(octet >> 4 & 15, 16)).append(Character.forDigit(octet & 15, 16));
            }
        } else if (action instanceof WatchEndpoints) {
            startLine(out, "OBSERVE", instance).append('1');
        }
        out.append('\n');
    }

    private static StringBuilder startLine(StringBuilder out, String verb, int instance) {
        return out.append(verb).append('\t').append(instance).append('\t');
    }

    private static void appendHex(StringBuilder out, long id) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            out.append(Character.forDigit((int) (id >>> shift & 15), 16));
        }
    }

    private static void appendMillis(StringBuilder out, long micros) {
        out.append(micros / 1000).append('.');
        long fractionMicros = micros % 1000;
        out.append(fractionMicros / 100).append(fractionMicros / 10 % 10).append(fractionMicros % 10);
    }
}
