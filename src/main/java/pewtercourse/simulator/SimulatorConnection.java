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

/** The wire of the bench: reads batches of events, hands them to the routers, writes their actions. */
public final class SimulatorConnection {
    /** A line that is not of the wire; the message names the line and the field. */
    public static final class MalformedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    private static final int MAX_MESSAGE_BYTES = 256;

    /** One router and what its wire names stand for. */
    private static final class Seat {
        Router router;
        SiteSettings site;
        List<RouterEvent> events = new ArrayList<>();
    }

    private record Row(
            long id, String zone, String kind, int cell, EndpointLifecycle state, double weight, long since) {}

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, Seat> seats = new HashMap<>();
    private final Map<Integer, List<Row>> lists = new HashMap<>();
    private final LinkedHashMap<Integer, Seat> touched = new LinkedHashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String[] fields;

    public SimulatorConnection(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    public void run() throws IOException {
        long now = 0;
        boolean open = false;
        while (nextLine()) {
            String verb = fields[0];
            if (verb.isEmpty() && fields.length == 1) {
                continue;
            }
            if (verb.equals("ROUND")) {
                if (open) {
                    throw malformed("ROUND inside a batch");
                }
                open = true;
                now = time(1, "T");
            } else if (!open) {
                throw malformed("'" + shown(verb) + "' outside a batch");
            } else if (verb.equals("EOB")) {
                open = false;
                answer(now);
            } else {
                event(verb);
            }
        }
        if (open) {
            throw malformed("input ends inside a batch");
        }
    }

    private boolean nextLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            return false;
        }
        lineNumber++;
        int tabs = 0;
        for (int i = line.indexOf('\t'); i >= 0; i = line.indexOf('\t', i + 1)) {
            tabs++;
        }
        fields = new String[tabs + 1];
        int from = 0;
        for (int i = 0; i < tabs; i++) {
            int to = line.indexOf('\t', from);
            fields[i] = line.substring(from, to);
            from = to + 1;
        }
        fields[tabs] = line.substring(from);
        return true;
    }

    private void answer(long now) throws IOException {
        reply.setLength(0);
        for (Map.Entry<Integer, Seat> e : touched.entrySet()) {
            Seat seat = e.getValue();
            if (seat.router == null) {
                continue;
            }
            for (RouterAction a : seat.router.handle(now, seat.events)) {
                write(reply, e.getKey(), a);
            }
            seat.events = new ArrayList<>();
        }
        touched.clear();
        reply.append("EOR\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void event(String verb) throws IOException {
        switch (verb) {
            case "NEW_INSTANCE" -> start();
            case "DIRECTORY" -> list();
            case "PEERS_KNOWN" -> {
                Seat seat = seat();
                EndpointUpdateKind kind = switch (text(4, "Mode")) {
                    case "diff" -> EndpointUpdateKind.DELTA;
                    case "snapshot" -> EndpointUpdateKind.SNAPSHOT;
                    case "disk" -> EndpointUpdateKind.CACHED;
                    case "error" -> EndpointUpdateKind.FAILED;
                    default -> throw malformed("field Mode: '" + shown(fields[4]) + "' is no kind of list");
                };
                List<Endpoint> members = new ArrayList<>();
                if (kind != EndpointUpdateKind.FAILED) {
                    List<Row> rows = lists.get((int) whole(2, "SetId"));
                    if (rows == null) {
                        throw malformed("field SetId: no such list");
                    }
                    for (Row r : rows) {
                        members.add(member(seat, r));
                    }
                }
                seat.events.add(new EndpointsChanged(kind, members));
            }
            case "NEW_REQUEST" -> {
                Seat seat = seat();
                Integer cls = seat.site.classes().get(text(3, "Profile"));
                if (cls == null) {
                    throw malformed("field Profile: '" + shown(fields[3]) + "' is not in the settings");
                }
                int bits = (int) optional(10, "StateBits");
                seat.events.add(new RequestArrived(
                        request(2),
                        cls,
                        text(5, "Object"),
                        (int) optional(9, "Part"),
                        (int) optional(8, "LabelNo"),
                        optional(7, "LengthKb"),
                        time(6, "Expires"),
                        (bits & 2) != 0,
                        (bits & 4) != 0));
            }
            case "REMINDER" -> seat().events.add(new TimerFired(text(2, "Handle")));
            case "HEAD_RECEIVED" -> seat().events.add(new StreamStarted(request(2), (int) whole(3, "Trial")));
            case "RESULT" -> {
                AttemptOutcome ending = ending(text(5, "Reason"));
                int note = (int) optional(8, "Remark");
                CacheStatus[] notes = CacheStatus.values();
                seat().events
                        .add(new AttemptFinished(
                                request(2),
                                (int) whole(3, "Trial"),
                                whole(4, "Node"),
                                ending,
                                time(6, "Latency"),
                                bool(7, "Last"),
                                note > 0 && note < notes.length ? notes[note] : CacheStatus.UNKNOWN));
            }
            case "INVALIDATED" ->
                seat().events
                        .add(new ContentPurged(
                                absent(2) ? null : fields[2],
                                (int) optional(3, "BatchId"),
                                micros(optional(4, "Age"))));
            case "RETIRE" -> {
                seat();
                int i = (int) whole(1, "I");
                seats.remove(i);
                touched.remove(i);
            }
            case "MESSAGE" -> seat().events.add(new GossipReceived((int) whole(2, "OriginPeer"), bytes(3)));
            case "LEFT" -> seat().events.add(new ClientDisconnected(request(2)));
            case "HEALTH_RESULT" -> seat();
            default -> throw malformed("'" + shown(verb) + "' is no message of the wire");
        }
    }

    private void list() throws IOException {
        int id = (int) whole(1, "SetId");
        long n = whole(2, "NodesList");
        List<Row> rows = new ArrayList<>();
        for (long i = 0; i < n; i++) {
            if (!nextLine() || !fields[0].equals("ROW")) {
                throw malformed("field NodesList: " + n + " ROW lines announced, " + i + " found");
            }
            EndpointLifecycle state = switch (text(5, "Lifecycle")) {
                case "Ready" -> EndpointLifecycle.READY;
                case "Terminating" -> EndpointLifecycle.DRAINING;
                case "Gone" -> EndpointLifecycle.GONE;
                default -> throw malformed("field Lifecycle: '" + shown(fields[5]) + "' is no state");
            };
            rows.add(new Row(
                    whole(1, "Node"),
                    text(2, "Campus"),
                    text(3, "Kind"),
                    (int) optional(4, "Cluster"),
                    state,
                    optional(6, "Weight"),
                    micros(optional(7, "OnlineSince"))));
        }
        lists.put(id, rows);
    }

    private static Endpoint member(Seat seat, Row r) {
        return seat.site.member(r.id, r.zone, r.kind, r.cell, r.state, r.weight, r.since);
    }

    private void start() {
        int i = (int) whole(1, "I");
        long seed = whole(2, "Salt");
        Map<String, String> info = new HashMap<>();
        for (int f = 3; f < fields.length; f++) {
            int eq = fields[f].indexOf('=');
            if (eq <= 0) {
                throw malformed("field Info: '" + shown(fields[f]) + "' is not path=value");
            }
            info.put(fields[f].substring(0, eq), fields[f].substring(eq + 1));
        }
        Seat seat = new Seat();
        try {
            seat.site = SiteSettings.read(info);
        } catch (ConfigException e) {
            throw malformed("field " + e.getMessage());
        }
        seat.router = new RoutingEngine(seat.site.router(), seed);
        seats.put(i, seat);
        touched.remove(i);
        touched.put(i, seat);
    }

    private Seat seat() {
        int i = (int) whole(1, "I");
        Seat seat = seats.get(i);
        if (seat == null) {
            throw malformed("field I: no instance " + i);
        }
        touched.putIfAbsent(i, seat);
        return seat;
    }

    private boolean absent(int f) {
        return f >= fields.length || fields[f].isEmpty() || fields[f].equals("-");
    }

    private String text(int f, String name) {
        if (absent(f)) {
            throw malformed("field " + name + " is missing");
        }
        return fields[f];
    }

    private double parse(String v, String name) {
        try {
            double d = Double.parseDouble(v);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw malformed("field " + name + ": '" + shown(v) + "' is not a number");
    }

    private double optional(int f, String name) {
        return absent(f) ? 0 : parse(fields[f], name);
    }

    private long whole(int f, String name) {
        String v = text(f, name);
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            throw malformed("field " + name + ": '" + shown(v) + "' is not a whole number");
        }
    }

    private long time(int f, String name) {
        return micros(parse(text(f, name), name));
    }

    private static long micros(double ms) {
        return Math.round(ms * 1000);
    }

    private boolean bool(int f, String name) {
        String v = text(f, name);
        if (!v.equals("0") && !v.equals("1")) {
            throw malformed("field " + name + ": '" + shown(v) + "' is neither 1 nor 0");
        }
        return v.equals("1");
    }

    private long request(int f) {
        String v = text(f, "Xid");
        try {
            if (v.length() == 16) {
                return Long.parseUnsignedLong(v, 16);
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw malformed("field Xid: '" + shown(v) + "' is not 16 hex digits");
    }

    private byte[] bytes(int f) {
        if (absent(f)) {
            return new byte[0];
        }
        String v = fields[f];
        byte[] b = new byte[v.length() / 2];
        for (int i = 0; i < v.length(); i++) {
            int digit = Character.digit(v.charAt(i), 16);
            if (digit < 0 || v.length() % 2 != 0) {
                throw malformed("field Content: not hex digits");
            }
            b[i / 2] = (byte) (b[i / 2] << 4 | digit);
        }
        return b;
    }

    private AttemptOutcome ending(String reason) {
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
            default -> throw malformed("field Reason: '" + shown(reason) + "' is no outcome");
        };
    }

    private MalformedException malformed(String what) {
        return new MalformedException("line " + lineNumber + ": " + what);
    }

    private static String shown(String v) {
        return v.length() <= 40 ? v : v.substring(0, 40) + "...";
    }

    static void write(StringBuilder to, int instance, RouterAction action) {
        if (action instanceof SendAttempt s) {
            head(to, "OBTAIN", instance);
            hex(to, s.requestId());
            to.append('\t').append(s.endpointId()).append('\t');
            millis(to, s.timeout());
            to.append('\t')
                    .append(s.fillSourceId())
                    .append('\t')
                    .append(s.retentionRank())
                    .append('\t');
            millis(to, s.maxAge());
            int mode = (s.coalesce() ? 1 : 0) + (s.onlyIfCached() ? 2 : 0) + (s.refreshInBackground() ? 8 : 0);
            to.append('\t').append(mode);
        } else if (action instanceof CancelAttempt c) {
            head(to, "REVOKE", instance);
            hex(to, c.requestId());
            to.append('\t').append(c.attempt());
        } else if (action instanceof RejectRequest r) {
            head(to, "SAY_NO", instance);
            hex(to, r.requestId());
            to.append('\t');
            millis(to, r.retryAfter());
        } else if (action instanceof FailRequest f) {
            head(to, "FAIL", instance);
            hex(to, f.requestId());
        } else if (action instanceof StartTimer t) {
            head(to, "DEFER", instance).append(t.name()).append('\t');
            millis(to, t.dueAt());
        } else if (action instanceof SendGossip t) {
            if (t.payload().length > MAX_MESSAGE_BYTES) {
                throw new IllegalArgumentException("message of " + t.payload().length + " bytes");
            }
            head(to, "NOTIFY", instance).append(t.router()).append('\t');
            for (byte b : t.payload()) {
                to.append(Character.forDigit(b >> 4 & 15, 16)).append(Character.forDigit(b & 15, 16));
            }
        } else if (action instanceof WatchEndpoints) {
            head(to, "OBSERVE", instance).append('1');
        }
        to.append('\n');
    }

    private static StringBuilder head(StringBuilder to, String verb, int instance) {
        return to.append(verb).append('\t').append(instance).append('\t');
    }

    private static void hex(StringBuilder to, long id) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            to.append(Character.forDigit((int) (id >>> shift & 15), 16));
        }
    }

    private static void millis(StringBuilder to, long us) {
        to.append(us / 1000).append('.');
        long rest = us % 1000;
        to.append(rest / 100).append(rest / 10 % 10).append(rest % 10);
    }
}
