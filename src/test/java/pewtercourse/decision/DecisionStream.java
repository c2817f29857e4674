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

    private record Scheduled(long at, long order, RouterEvent event) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record AttemptKey(long request, int attempt) {}

    private static final class MemberModel {
        Endpoint listed;
        Fault fault = Fault.NONE;
        long faultEnds;
        final Set<String> copies = new HashSet<>();
    }

    private final Random random;
    private final Map<String, Integer> occurrences;
    private final StreamSettings drawn;
    private final RoutingEngine logic;
    private final MessageDigest digest;
    private final long meanGap;
    private final double lossRate;
    private final boolean floods;
    private final List<MemberModel> members = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>();
    private final Map<AttemptKey, Scheduled> outcomes = new HashMap<>();
    private final Map<Long, List<SendAttempt>> attempts = new HashMap<>();
    private final Map<Long, RequestArrived> requests = new HashMap<>();
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
        this.logic = new RoutingEngine(drawn.settings(), random.nextLong());
        this.floods = seed % 8 == 7;
        this.meanGap = (2 + random.nextInt(25)) * MS;
        this.lossRate = random.nextInt(3) == 0 ? 0.1 : 0.01;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (Endpoint member : drawn.members(START)) {
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
        schedule(now, list(random.nextBoolean() ? EndpointUpdateKind.CACHED : EndpointUpdateKind.SNAPSHOT));
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
        List<RouterEvent> batch = new ArrayList<>();
        for (int i = 0; i < FLOOD; i++) {
            RequestArrived request =
                    new RequestArrived(nextId++, 0, "flood" + i, 0, 0, 10, now + 500 * MS, false, false);
            requests.put(request.requestId(), request);
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
        List<RouterEvent> batch = new ArrayList<>();
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

    private void handle(List<RouterEvent> batch) {
        eventCount += batch.size();
        List<RouterAction> actions = logic.handle(now, batch);
        actionCount += actions.size();
        for (RouterAction action : actions) {
            record(action);
            answer(action);
        }
        recordInsight();
    }

    // ---- Events ----

    private void arrival(List<RouterEvent> batch) {
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
            batch.add(new SettingsChanged(drawn.redraw()));
        } else if (kind < 954) {
            occurred("quota changed");
            batch.add(new QuotaChanged(random.nextDouble() * 3));
        } else if (kind < 964) {
            batch.add(strayEvent());
        } else {
            startFault();
        }
    }

    private RouterEvent request() {
        List<RequestClass> classes = drawn.settings().classes();
        int cls = random.nextInt(classes.size());
        boolean sameId = random.nextInt(200) == 0 && nextId > 1;
        long id = sameId ? nextId - 1 : nextId++;
        String object = "object" + (int) (Math.pow(random.nextInt(1000) / 1000.0, 3) * 150);
        int part = classes.get(cls).segmented() ? random.nextInt(4) : 0;
        double size = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(500) * (random.nextInt(10) == 0 ? 20 : 1);
        long expires = now + classes.get(cls).deadline();
        boolean repeat = random.nextInt(10) == 0;
        boolean write = random.nextInt(20) == 0;
        RequestArrived request =
                new RequestArrived(id, cls, object, part, random.nextInt(5), size, expires, repeat, write);
        requests.putIfAbsent(id, request);
        occurred("effect " + classes.get(cls).idempotency().ordinal());
        occurred("group " + classes.get(cls).deduplicationScope().ordinal());
        occurred("stream " + classes.get(cls).streaming());
        occurred("fresh for ever " + (classes.get(cls).freshnessLifetime() == 0));
        occurred("segmented " + classes.get(cls).segmented());
        occurred("uncacheable " + classes.get(cls).uncacheable());
        return request;
    }

    private RouterEvent peerMessage() {
        int from = random.nextInt(drawn.settings().topology().routers() + 2) - 1;
        int entries = 1 + random.nextInt(25);
        byte[] whole = message(random.nextBoolean() ? REPORT : SUMS, entries);
        int kind = random.nextInt(6);
        if (kind == 0) {
            occurred("gossip cut");
            return new GossipReceived(from, Arrays.copyOf(whole, random.nextInt(whole.length)));
        }
        if (kind == 1) {
            occurred("gossip too long");
            return new GossipReceived(from, message(REPORT, 26 + random.nextInt(10)));
        }
        if (kind == 2) {
            occurred("gossip random");
            byte[] bytes = new byte[1 + 10 * random.nextInt(25)];
            random.nextBytes(bytes);
            return new GossipReceived(from, bytes);
        }
        occurred("gossip whole");
        return new GossipReceived(from, whole);
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

    private void clientGone(List<RouterEvent> batch) {
        long id = Math.max(1, nextId - 1 - random.nextInt(20));
        occurred("client gone");
        batch.add(new ClientDisconnected(id));
    }

    private RouterEvent purge() {
        boolean ofGroup = random.nextInt(4) == 0;
        occurred(ofGroup ? "purge of group" : "purge of object");
        String object = ofGroup ? null : "object" + random.nextInt(30);
        return new ContentPurged(object, random.nextInt(5), random.nextInt(500) * MS);
    }

    private RouterEvent strayEvent() {
        return switch (random.nextInt(4)) {
            case 0 -> new AttemptFinished(nextId + 7, 0, 1, AttemptOutcome.OK, 10 * MS, true, CacheStatus.UNKNOWN);
            case 1 ->
                new AttemptFinished(
                        Math.max(1, nextId - 3), 9, 1, AttemptOutcome.ERROR, 10 * MS, false, CacheStatus.UNKNOWN);
            case 2 -> new StreamStarted(nextId + 7, 0);
            default -> new TimerFired("other");
        };
    }

    // A member drains, goes, comes back cold, or comes back as it was.
    private void changeMember(List<RouterEvent> batch) {
        MemberModel model = members.get(random.nextInt(members.size()));
        Endpoint was = model.listed;
        EndpointLifecycle state;
        long since = was.startedAt();
        if (was.lifecycle() == EndpointLifecycle.READY) {
            state = random.nextInt(3) == 0 ? EndpointLifecycle.DRAINING : EndpointLifecycle.GONE;
        } else {
            state = EndpointLifecycle.READY;
            since = random.nextInt(4) == 0 ? since : now - random.nextInt(200) * MS;
            if (since != was.startedAt()) {
                model.copies.clear();
            }
        }
        model.listed = new Endpoint(was.id(), was.zone(), was.role(), was.cell(), state, was.weight(), since);
        if (random.nextInt(10) == 0) {
            batch.add(list(EndpointUpdateKind.SNAPSHOT));
        } else {
            occurred("list " + EndpointUpdateKind.DELTA.ordinal());
            batch.add(new EndpointsChanged(EndpointUpdateKind.DELTA, List.of(model.listed)));
        }
        if (random.nextInt(20) == 0) {
            batch.add(list(EndpointUpdateKind.FAILED));
        }
    }

    private RouterEvent list(EndpointUpdateKind kind) {
        occurred("list " + kind.ordinal());
        List<Endpoint> listed = new ArrayList<>();
        for (MemberModel model : members) {
            boolean told = kind != EndpointUpdateKind.FAILED
                    && (model.listed.lifecycle() != EndpointLifecycle.GONE || random.nextBoolean());
            if (told) {
                listed.add(model.listed);
                occurred("role " + model.listed.role().ordinal());
                occurred("state " + model.listed.lifecycle().ordinal());
            }
        }
        return new EndpointsChanged(kind, listed);
    }

    private void startFault() {
        MemberModel model = members.get(random.nextInt(members.size()));
        Fault[] faults = Fault.values();
        model.fault = faults[random.nextInt(faults.length)];
        boolean lasting = random.nextInt(10) == 0;
        model.faultEnds = lasting ? Long.MAX_VALUE : now + (300 + random.nextInt(4000)) * MS;
    }

    // ---- Answers to the router's actions ----

    private void answer(RouterAction action) {
        if (action instanceof SendAttempt send) {
            answerSend(send);
        } else if (action instanceof CancelAttempt cancel) {
            answerCancel(cancel.requestId(), cancel.attempt());
        } else if (action instanceof StartTimer timer) {
            schedule(timer.dueAt() + random.nextInt(2000), new TimerFired(timer.name()));
        } else if (action instanceof SendGossip gossip) {
            answerGossip(gossip.router(), gossip.payload());
        } else if (action instanceof WatchEndpoints) {
            schedule(
                    now + random.nextInt(300) * MS,
                    list(random.nextInt(3) == 0 ? EndpointUpdateKind.FAILED : EndpointUpdateKind.SNAPSHOT));
        }
    }

    private void answerSend(SendAttempt send) {
        List<SendAttempt> sent = attempts.computeIfAbsent(send.requestId(), id -> new ArrayList<>());
        int attempt = sent.size();
        sent.add(send);
        MemberModel model = model(send.endpointId());
        if (model.faultEnds < now) {
            model.fault = Fault.NONE;
        }
        if (random.nextDouble() < lossRate || model.fault == Fault.SILENT && random.nextInt(10) > 0) {
            occurred("lost answer");
            return;
        }
        RequestArrived request = requests.get(send.requestId());
        boolean holds = model.copies.contains(request.object() + "/" + request.segment());
        AttemptOutcome ending = ending(send, model, holds);
        long latency = latency(model, ending, holds);
        if (send.timeout() > 0 && latency > send.timeout()) {
            ending = AttemptOutcome.TIMEOUT;
            latency = send.timeout();
        }
        CacheStatus note = note(send, ending, holds);
        if (ending == AttemptOutcome.OK && send.retentionRank() > 0) {
            model.copies.add(request.object() + "/" + request.segment());
        }
        boolean last = ending == AttemptOutcome.OK || random.nextInt(50) == 0;
        if (ending == AttemptOutcome.OK
                && drawn.settings().classes().get(request.requestClass()).streaming()) {
            occurred("stream begun");
            schedule(now + latency / 2, new StreamStarted(send.requestId(), attempt));
        }
        RouterEvent outcome =
                new AttemptFinished(send.requestId(), attempt, send.endpointId(), ending, latency, last, note);
        outcomes.put(new AttemptKey(send.requestId(), attempt), schedule(now + latency, outcome));
        occurred("outcome " + ending.ordinal());
        occurred("note " + note.ordinal());
        if (random.nextInt(200) == 0) {
            schedule(now + latency + MS, outcome);
        }
    }

    private AttemptOutcome ending(SendAttempt send, MemberModel model, boolean holds) {
        if (!holds && send.onlyIfCached() && random.nextInt(4) == 0) {
            return AttemptOutcome.MISS;
        }
        if (!holds && send.fillSourceId() == send.endpointId() && random.nextInt(2) == 0) {
            return random.nextBoolean() ? AttemptOutcome.MISS : AttemptOutcome.OVERLOADED;
        }
        int luck = random.nextInt(100);
        if (luck >= 85) {
            return luck < 92
                    ? AttemptOutcome.OK
                    : AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
        }
        return switch (model.fault) {
            case NONE, SILENT, SLOW -> AttemptOutcome.OK;
            case ERRORS -> AttemptOutcome.ERROR;
            case REFUSES -> AttemptOutcome.OVERLOADED;
            case RESETS -> AttemptOutcome.RESET;
            case UNREACHABLE -> AttemptOutcome.CONNECT_FAILED;
            case LATE_TIMEOUTS -> luck < 60 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK;
        };
    }

    private long latency(MemberModel model, AttemptOutcome ending, boolean holds) {
        if (ending == AttemptOutcome.TIMEOUT) {
            return (500 + random.nextInt(2500)) * MS;
        }
        if (ending == AttemptOutcome.OK) {
            int factor = model.fault == Fault.SLOW ? 10 : random.nextInt(30) == 0 ? 8 : 1;
            return factor * (holds ? 2 + random.nextInt(60) : 20 + random.nextInt(200)) * MS + random.nextInt(1000);
        }
        return (1 + random.nextInt(50)) * MS;
    }

    private CacheStatus note(SendAttempt send, AttemptOutcome ending, boolean holds) {
        CacheStatusDetail told = drawn.settings().upstream().cacheStatusDetail();
        if (told == CacheStatusDetail.NONE) {
            return CacheStatus.UNKNOWN;
        }
        if (told == CacheStatusDetail.HITS) {
            return ending == AttemptOutcome.OK && holds ? CacheStatus.HIT : CacheStatus.UNKNOWN;
        }
        int draw = random.nextInt(10);
        return switch (ending) {
            case OK -> holds ? (draw == 0 ? CacheStatus.STALE : CacheStatus.HIT) : filledNote(send, draw);
            case ERROR ->
                draw < 3 ? CacheStatus.SOURCE_FAILED : draw < 6 ? CacheStatus.ORIGIN_FAILED : CacheStatus.UNKNOWN;
            case OVERLOADED ->
                draw < 3
                        ? CacheStatus.FILL_LIMIT_REACHED
                        : draw < 6 ? CacheStatus.SOURCE_REJECTED : CacheStatus.UNKNOWN;
            case MISS -> draw < 8 ? CacheStatus.SOURCE_MISS : CacheStatus.UNKNOWN;
            default -> CacheStatus.UNKNOWN;
        };
    }

    private CacheStatus filledNote(SendAttempt send, int draw) {
        if (draw == 0) {
            return CacheStatus.COALESCED;
        }
        return model(send.fillSourceId()).listed.role() == EndpointRole.ORIGIN
                ? CacheStatus.FILLED_FROM_ORIGIN
                : CacheStatus.FILLED;
    }

    private void answerCancel(long request, int attempt) {
        Scheduled outcome = outcomes.get(new AttemptKey(request, attempt));
        if (outcome != null) {
            if (!scheduled.remove(outcome)) {
                return;
            }
        }
        long member = attempts.get(request).get(attempt).endpointId();
        AttemptOutcome ending = random.nextInt(6) == 0 ? AttemptOutcome.SUPERSEDED : AttemptOutcome.CANCELLED;
        occurred("outcome " + ending.ordinal());
        boolean last = random.nextInt(20) == 0;
        schedule(now + MS, new AttemptFinished(request, attempt, member, ending, 5 * MS, last, CacheStatus.UNKNOWN));
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
            schedule(now + random.nextInt(20) * MS, new GossipReceived(router, reply.array()));
        }
    }

    private MemberModel model(long id) {
        return members.stream().filter(m -> m.listed.id() == id).findFirst().orElseThrow();
    }

    private Scheduled schedule(long at, RouterEvent event) {
        Scheduled entry = new Scheduled(at, order++, event);
        scheduled.add(entry);
        return entry;
    }

    // ---- Record of the decisions ----

    private void record(RouterAction action) {
        if (action instanceof SendAttempt s) {
            noteSend(s);
            write(
                    "send",
                    s.requestId(),
                    s.endpointId(),
                    s.timeout(),
                    s.fillSourceId(),
                    s.retentionRank(),
                    s.maxAge(),
                    s.coalesce(),
                    s.onlyIfCached(),
                    s.refreshInBackground());
        } else if (action instanceof CancelAttempt c) {
            write("cancel", c.requestId(), c.attempt());
        } else if (action instanceof RejectRequest r) {
            write("reject", r.requestId(), r.retryAfter());
        } else if (action instanceof FailRequest f) {
            write("fail", f.requestId());
        } else if (action instanceof StartTimer t) {
            write("timer", t.name(), t.dueAt());
        } else if (action instanceof SendGossip t) {
            write("gossip", t.router(), HexFormat.of().formatHex(t.payload()));
        } else if (action instanceof WatchEndpoints) {
            write("watch");
        } else {
            throw new AssertionError("an action of an unknown kind: " + action);
        }
    }

    private void noteSend(SendAttempt send) {
        occurred("rank " + send.retentionRank());
        if (send.timeout() > 0) {
            occurred("with timeout");
        }
        if (send.maxAge() > 0) {
            occurred("with age bound");
        }
        if (attempts.containsKey(send.requestId())) {
            occurred("second attempt");
        }
        if (model(send.endpointId()).listed.role() == EndpointRole.PARENT) {
            occurred("attempt at parent");
        }
        if (send.onlyIfCached()) {
            occurred("fill from sibling");
        } else if (send.fillSourceId() == send.endpointId()) {
            occurred("no fill");
        } else {
            boolean parent = model(send.fillSourceId()).listed.role() == EndpointRole.PARENT;
            occurred(parent ? "fill from parent" : "fill from origin");
        }
    }

    private void recordInsight() {
        RouterStatus insight = logic.status();
        if (insight.ejectedEndpoints() > 0) {
            occurred("ejected");
        }
        if (insight.slowStartLimited()) {
            occurred("short of warm-up budget");
        }
        digest.update((byte) insight.ejectedEndpoints());
        digest.update((byte) (insight.slowStartLimited() ? 1 : 0));
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
