package pewtercourse.decision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import pewtercourse.decision.Router.Action;
import pewtercourse.decision.Router.Ending;
import pewtercourse.decision.Router.Event;
import pewtercourse.decision.Router.ListKind;
import pewtercourse.decision.Router.Member;
import pewtercourse.decision.Router.Note;
import pewtercourse.decision.Router.Notes;
import pewtercourse.decision.Router.Request;
import pewtercourse.decision.Router.RequestClass;
import pewtercourse.decision.Router.Role;
import pewtercourse.decision.Router.Send;
import pewtercourse.decision.Router.State;

/**
 * One random stream of events through a router, from one seed. It plays the clients, caches, list, timers and peers: each
 * action of the router is answered after a random time. The hash of all actions is the stream's result.
 */
final class DecisionStream {
    private static final int STEPS = 4000;
    private static final int FLOOD = 21_000;
    private static final long MS = 1000;
    private static final long START = 100_000 * MS;
    private static final byte REPORT = 1;
    private static final byte SUMS = 2;

    /** What is wrong with a member for a while. */
    private enum Fault {
        NONE,
        ERRORS,
        REFUSES,
        RESETS,
        UNREACHABLE,
        SILENT,
        SLOW,
        LATE_TIMEOUTS
    }

    private record Scheduled(long at, long order, Event event) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record AttemptKey(long request, int attempt) {}

    private static final class MemberModel {
        Member listed;
        Fault fault = Fault.NONE;
        long faultEnds;
        final Set<String> copies = new HashSet<>();
    }

    private final Random random;
    private final Map<String, Integer> occurrences;
    private final StreamSettings drawn;
    private final Logic logic;
    private final MessageDigest digest;
    private final long meanGap;
    private final double lossRate;
    private final boolean floods;
    private final List<MemberModel> members = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>();
    private final Map<AttemptKey, Scheduled> outcomes = new HashMap<>();
    private final Map<Long, List<Send>> attempts = new HashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private final List<Long> gossipedObjects = new ArrayList<>();
    private long now = START;
    private long nextArrival = START;
    private long nextId = 1;
    private long order;
    private int eventCount;
    private int actionCount;

    DecisionStream(int seed, Map<String, Integer> occurrences) {
        this.random = new Random(seed);
        this.occurrences = occurrences;
        this.drawn = new StreamSettings(random, occurrences);
        this.logic = new Logic(drawn.settings(), random.nextLong());
        this.floods = seed % 8 == 7;
        this.meanGap = (2 + random.nextInt(25)) * MS;
        this.lossRate = random.nextInt(3) == 0 ? 0.1 : 0.01;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (Member member : drawn.members(START)) {
            MemberModel model = new MemberModel();
            model.listed = member;
            members.add(model);
        }
    }

    int eventCount() {
        return eventCount;
    }

    int actionCount() {
        return actionCount;
    }

    /** Plays the stream; returns the hash of all actions, in hexadecimal digits. */
    String play() {
        schedule(now, list(random.nextBoolean() ? ListKind.REMEMBERED : ListKind.WHOLE));
        for (int step = 0; step < STEPS; step++) {
            step();
            if (step == STEPS / 2 && floods) {
                flood();
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    // More objects in one batch than a router remembers.
    private void flood() {
        List<Event> batch = new ArrayList<>();
        for (int i = 0; i < FLOOD; i++) {
            Request request = new Request(nextId++, 0, "flood" + i, 0, 0, 10, now + 500 * MS, false, false);
            requests.put(request.id(), request);
            batch.add(request);
        }
        handle(batch);
    }

    private void step() {
        long next = scheduled.isEmpty()
                ? nextArrival
                : Math.min(nextArrival, scheduled.peek().at());
        long stall = random.nextInt(300) == 0 ? random.nextInt(400) * MS : 0;
        long quiet = random.nextInt(2000) == 0 ? random.nextInt(12_000) * MS : 0;
        now = Math.max(now, next + stall + quiet);
        List<Event> batch = new ArrayList<>();
        while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
            batch.add(scheduled.poll().event());
        }
        if (nextArrival <= now) {
            int burst = random.nextInt(100) == 0 ? 1 + random.nextInt(12) : 1;
            for (int i = 0; i < burst; i++) {
                arrival(batch);
            }
            nextArrival = now + 1 + (long) (-StrictMath.log(1 - random.nextDouble()) * meanGap);
        }
        handle(batch);
    }

    private void handle(List<Event> batch) {
        eventCount += batch.size();
        List<Action> actions = logic.handle(now, batch);
        actionCount += actions.size();
        for (Action action : actions) {
            record(action);
            answer(action);
        }
        recordInsight();
    }

    // ---- Events ----

    private void arrival(List<Event> batch) {
        int kind = random.nextInt(1000);
        if (kind < 840) {
            batch.add(request());
        } else if (kind < 870) {
            batch.add(peerMessage());
        } else if (kind < 890) {
            clientGone(batch);
        } else if (kind < 910) {
            batch.add(purge());
        } else if (kind < 940) {
            changeMember(batch);
        } else if (kind < 944) {
            occurred("reconfigured");
            batch.add(new Router.Reconfigured(drawn.redraw()));
        } else if (kind < 954) {
            occurred("quota changed");
            batch.add(new Router.Parted(random.nextDouble() * 3));
        } else if (kind < 964) {
            batch.add(strayEvent());
        } else {
            startFault();
        }
    }

    private Event request() {
        RequestClass[] classes = drawn.settings().classes();
        int cls = random.nextInt(classes.length);
        boolean sameId = random.nextInt(200) == 0 && nextId > 1;
        long id = sameId ? nextId - 1 : nextId++;
        String object = "object" + (int) (Math.pow(random.nextInt(1000) / 1000.0, 3) * 150);
        int part = classes[cls].inParts() ? random.nextInt(4) : 0;
        double size = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(500) * (random.nextInt(10) == 0 ? 20 : 1);
        long expires = now + classes[cls].deadline();
        boolean repeat = random.nextInt(10) == 0;
        boolean write = random.nextInt(20) == 0;
        Request request = new Request(id, cls, object, part, random.nextInt(5), size, expires, repeat, write);
        requests.putIfAbsent(id, request);
        occurred("effect " + classes[cls].effect().ordinal());
        occurred("group " + classes[cls].group().ordinal());
        occurred("stream " + classes[cls].stream());
        occurred("fresh for ever " + (classes[cls].goodFor() == 0));
        occurred("segmented " + classes[cls].inParts());
        occurred("uncacheable " + classes[cls].goesThrough());
        return request;
    }

    private Event peerMessage() {
        int from = random.nextInt(drawn.settings().routers() + 2) - 1;
        int entries = 1 + random.nextInt(25);
        byte[] whole = message(random.nextBoolean() ? REPORT : SUMS, entries);
        int kind = random.nextInt(6);
        if (kind == 0) {
            occurred("gossip cut");
            return new Router.PeerMessage(from, Arrays.copyOf(whole, random.nextInt(whole.length)));
        }
        if (kind == 1) {
            occurred("gossip too long");
            return new Router.PeerMessage(from, message(REPORT, 26 + random.nextInt(10)));
        }
        if (kind == 2) {
            occurred("gossip random");
            byte[] bytes = new byte[1 + 10 * random.nextInt(25)];
            random.nextBytes(bytes);
            return new Router.PeerMessage(from, bytes);
        }
        occurred("gossip whole");
        return new Router.PeerMessage(from, whole);
    }

    private byte[] message(byte kind, int entries) {
        ByteBuffer message = ByteBuffer.allocate(1 + 10 * entries).put(kind);
        for (int i = 0; i < entries; i++) {
            boolean known = !gossipedObjects.isEmpty() && random.nextInt(10) > 0;
            message.putLong(known ? gossipedObjects.get(random.nextInt(gossipedObjects.size())) : random.nextLong());
            message.putShort((short) (random.nextInt(10) == 0 ? random.nextInt(65_536) : random.nextInt(60)));
        }
        return message.array();
    }

    private void clientGone(List<Event> batch) {
        long id = Math.max(1, nextId - 1 - random.nextInt(20));
        occurred("client gone");
        batch.add(new Router.ClientGone(id));
    }

    private Event purge() {
        boolean ofGroup = random.nextInt(4) == 0;
        occurred(ofGroup ? "purge of group" : "purge of object");
        String object = ofGroup ? null : "object" + random.nextInt(30);
        return new Router.Purged(object, random.nextInt(5), random.nextInt(500) * MS);
    }

    private Event strayEvent() {
        return switch (random.nextInt(4)) {
            case 0 -> new Router.Outcome(nextId + 7, 0, 1, Ending.OK, 10 * MS, true, Note.NONE);
            case 1 -> new Router.Outcome(Math.max(1, nextId - 3), 9, 1, Ending.ERROR, 10 * MS, false, Note.NONE);
            case 2 -> new Router.StreamBegun(nextId + 7, 0);
            default -> new Router.TimerDue("other");
        };
    }

    // A member drains, goes, comes back cold, or comes back as it was.
    private void changeMember(List<Event> batch) {
        MemberModel model = members.get(random.nextInt(members.size()));
        Member was = model.listed;
        State state;
        long since = was.since();
        if (was.state() == State.READY) {
            state = random.nextInt(3) == 0 ? State.DRAINING : State.GONE;
        } else {
            state = State.READY;
            since = random.nextInt(4) == 0 ? since : now - random.nextInt(200) * MS;
            if (since != was.since()) {
                model.copies.clear();
            }
        }
        model.listed = new Member(was.id(), was.zone(), was.role(), was.cell(), state, was.weight(), since);
        if (random.nextInt(10) == 0) {
            batch.add(list(ListKind.WHOLE));
        } else {
            occurred("list " + ListKind.CHANGES.ordinal());
            batch.add(new Router.Listed(ListKind.CHANGES, List.of(model.listed)));
        }
        if (random.nextInt(20) == 0) {
            batch.add(list(ListKind.FAILED));
        }
    }

    private Event list(ListKind kind) {
        occurred("list " + kind.ordinal());
        List<Member> listed = new ArrayList<>();
        for (MemberModel model : members) {
            boolean told = kind != ListKind.FAILED && (model.listed.state() != State.GONE || random.nextBoolean());
            if (told) {
                listed.add(model.listed);
                occurred("role " + model.listed.role().ordinal());
                occurred("state " + model.listed.state().ordinal());
            }
        }
        return new Router.Listed(kind, listed);
    }

    private void startFault() {
        MemberModel model = members.get(random.nextInt(members.size()));
        Fault[] faults = Fault.values();
        model.fault = faults[random.nextInt(faults.length)];
        boolean lasting = random.nextInt(10) == 0;
        model.faultEnds = lasting ? Long.MAX_VALUE : now + (300 + random.nextInt(4000)) * MS;
    }

    // ---- Answers to the router's actions ----

    private void answer(Action action) {
        if (action instanceof Send send) {
            answerSend(send);
        } else if (action instanceof Router.Cancel cancel) {
            answerCancel(cancel.id(), cancel.attempt());
        } else if (action instanceof Router.Timer timer) {
            schedule(timer.at() + random.nextInt(2000), new Router.TimerDue(timer.name()));
        } else if (action instanceof Router.Tell gossip) {
            answerGossip(gossip.router(), gossip.bytes());
        } else if (action instanceof Router.Watch) {
            schedule(now + random.nextInt(300) * MS, list(random.nextInt(3) == 0 ? ListKind.FAILED : ListKind.WHOLE));
        }
    }

    private void answerSend(Send send) {
        List<Send> sent = attempts.computeIfAbsent(send.id(), id -> new ArrayList<>());
        int attempt = sent.size();
        sent.add(send);
        MemberModel model = model(send.member());
        if (model.faultEnds < now) {
            model.fault = Fault.NONE;
        }
        if (random.nextDouble() < lossRate || model.fault == Fault.SILENT && random.nextInt(10) > 0) {
            occurred("lost answer");
            return;
        }
        Request request = requests.get(send.id());
        boolean holds = model.copies.contains(request.object() + "/" + request.part());
        Ending ending = ending(send, model, holds);
        long latency = latency(model, ending, holds);
        if (send.timeout() > 0 && latency > send.timeout()) {
            ending = Ending.TIMEOUT;
            latency = send.timeout();
        }
        Note note = note(send, ending, holds);
        if (ending == Ending.OK && send.keep() > 0) {
            model.copies.add(request.object() + "/" + request.part());
        }
        boolean last = ending == Ending.OK || random.nextInt(50) == 0;
        if (ending == Ending.OK && drawn.settings().classes()[request.cls()].stream()) {
            occurred("stream begun");
            schedule(now + latency / 2, new Router.StreamBegun(send.id(), attempt));
        }
        Event outcome = new Router.Outcome(send.id(), attempt, send.member(), ending, latency, last, note);
        outcomes.put(new AttemptKey(send.id(), attempt), schedule(now + latency, outcome));
        occurred("outcome " + ending.ordinal());
        occurred("note " + note.ordinal());
        if (random.nextInt(200) == 0) {
            schedule(now + latency + MS, outcome);
        }
    }

    private Ending ending(Send send, MemberModel model, boolean holds) {
        if (!holds && send.sourceHoldsOnly() && random.nextInt(4) == 0) {
            return Ending.MISS;
        }
        if (!holds && send.source() == send.member() && random.nextInt(2) == 0) {
            return random.nextBoolean() ? Ending.MISS : Ending.FULL;
        }
        int luck = random.nextInt(100);
        if (luck >= 85) {
            return luck < 92 ? Ending.OK : Ending.values()[random.nextInt(Ending.values().length)];
        }
        return switch (model.fault) {
            case NONE, SILENT, SLOW -> Ending.OK;
            case ERRORS -> Ending.ERROR;
            case REFUSES -> Ending.FULL;
            case RESETS -> Ending.RESET;
            case UNREACHABLE -> Ending.CONNECT_FAILED;
            case LATE_TIMEOUTS -> luck < 60 ? Ending.TIMEOUT : Ending.OK;
        };
    }

    private long latency(MemberModel model, Ending ending, boolean holds) {
        if (ending == Ending.TIMEOUT) {
            return (500 + random.nextInt(2500)) * MS;
        }
        if (ending == Ending.OK) {
            int factor = model.fault == Fault.SLOW ? 10 : random.nextInt(30) == 0 ? 8 : 1;
            return factor * (holds ? 2 + random.nextInt(60) : 20 + random.nextInt(200)) * MS + random.nextInt(1000);
        }
        return (1 + random.nextInt(50)) * MS;
    }

    private Note note(Send send, Ending ending, boolean holds) {
        Notes told = drawn.settings().notes();
        if (told == Notes.NONE) {
            return Note.NONE;
        }
        if (told == Notes.HITS) {
            return ending == Ending.OK && holds ? Note.HIT : Note.NONE;
        }
        int draw = random.nextInt(10);
        return switch (ending) {
            case OK -> holds ? (draw == 0 ? Note.STALE : Note.HIT) : filledNote(send, draw);
            case ERROR -> draw < 3 ? Note.SOURCE_FAILED : draw < 6 ? Note.ORIGIN_FAILED : Note.NONE;
            case FULL -> draw < 3 ? Note.NO_FILL_PLACE : draw < 6 ? Note.SOURCE_REFUSED : Note.NONE;
            case MISS -> draw < 8 ? Note.SOURCE_LACKS : Note.NONE;
            default -> Note.NONE;
        };
    }

    private Note filledNote(Send send, int draw) {
        if (draw == 0) {
            return Note.JOINED;
        }
        return model(send.source()).listed.role() == Role.ORIGIN ? Note.FILLED_FROM_ORIGIN : Note.FILLED;
    }

    private void answerCancel(long request, int attempt) {
        Scheduled outcome = outcomes.get(new AttemptKey(request, attempt));
        if (outcome != null) {
            if (!scheduled.remove(outcome)) {
                return;
            }
        }
        long member = attempts.get(request).get(attempt).member();
        Ending ending = random.nextInt(6) == 0 ? Ending.MOOT : Ending.CANCELLED;
        occurred("outcome " + ending.ordinal());
        boolean last = random.nextInt(20) == 0;
        schedule(now + MS, new Router.Outcome(request, attempt, member, ending, 5 * MS, last, Note.NONE));
    }

    private void answerGossip(int router, byte[] bytes) {
        ByteBuffer message = ByteBuffer.wrap(bytes);
        byte kind = message.get();
        ByteBuffer reply = ByteBuffer.allocate(bytes.length).put(SUMS);
        while (message.hasRemaining()) {
            long object = message.getLong();
            int count = message.getShort() + random.nextInt(100);
            if (gossipedObjects.size() < 500) {
                gossipedObjects.add(object);
            }
            reply.putLong(object).putShort((short) count);
        }
        if (kind == REPORT && random.nextInt(5) > 0) {
            schedule(now + random.nextInt(20) * MS, new Router.PeerMessage(router, reply.array()));
        }
    }

    private MemberModel model(long id) {
        return members.stream().filter(m -> m.listed.id() == id).findFirst().orElseThrow();
    }

    private Scheduled schedule(long at, Event event) {
        Scheduled entry = new Scheduled(at, order++, event);
        scheduled.add(entry);
        return entry;
    }

    // ---- Record of the decisions ----

    private void record(Action action) {
        if (action instanceof Send s) {
            noteSend(s);
            write(
                    "send",
                    s.id(),
                    s.member(),
                    s.timeout(),
                    s.source(),
                    s.keep(),
                    s.maxAge(),
                    s.join(),
                    s.sourceHoldsOnly(),
                    s.renew());
        } else if (action instanceof Router.Cancel c) {
            write("cancel", c.id(), c.attempt());
        } else if (action instanceof Router.Refuse r) {
            write("reject", r.id(), r.holdOff());
        } else if (action instanceof Router.Fail f) {
            write("fail", f.id());
        } else if (action instanceof Router.Timer t) {
            write("timer", t.name(), t.at());
        } else if (action instanceof Router.Tell t) {
            write("gossip", t.router(), HexFormat.of().formatHex(t.bytes()));
        } else if (action instanceof Router.Watch) {
            write("watch");
        } else {
            throw new AssertionError("an action of an unknown kind: " + action);
        }
    }

    private void noteSend(Send send) {
        occurred("rank " + send.keep());
        if (send.timeout() > 0) {
            occurred("with timeout");
        }
        if (send.maxAge() > 0) {
            occurred("with age bound");
        }
        if (attempts.containsKey(send.id())) {
            occurred("second attempt");
        }
        if (model(send.member()).listed.role() == Role.PARENT) {
            occurred("attempt at parent");
        }
        if (send.sourceHoldsOnly()) {
            occurred("fill from sibling");
        } else if (send.source() == send.member()) {
            occurred("no fill");
        } else {
            boolean parent = model(send.source()).listed.role() == Role.PARENT;
            occurred(parent ? "fill from parent" : "fill from origin");
        }
    }

    private void recordInsight() {
        Router.Insight insight = logic.insight();
        if (insight.avoided() > 0) {
            occurred("ejected");
        }
        if (insight.coldShort()) {
            occurred("short of warm-up budget");
        }
        digest.update((byte) insight.avoided());
        digest.update((byte) (insight.coldShort() ? 1 : 0));
    }

    private void write(String tag, Object... values) {
        occurred("action " + tag);
        StringBuilder line = new StringBuilder(tag);
        line.append('@').append(now);
        for (Object value : values) {
            line.append('|').append(value);
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private void occurred(String what) {
        occurrences.merge(what, 1, Integer::sum);
    }
}
