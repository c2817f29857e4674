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
 * Runs one router on a random stream of events that a seed determines. The stream simulates the clients, the caches, the
 * endpoint list, the timers and the other routers: it replies to each action of the router after a random time. Its result is
 * the hash of all actions. The order and the bounds of the random draws determine the hash. Times are microseconds.
 */
final class RandomEventStream {
    private static final int STEPS = 4000;
    private static final int FLOOD_REQUESTS = 21_000;
    /** Microseconds in a millisecond. */
    private static final long MILLIS = 1000;

    private static final long START_TIME = 100_000 * MILLIS;
    /** First byte of a gossip message that reports access counts. */
    private static final byte GOSSIP_REPORT = 1;
    /** First byte of a gossip message that returns the sums of access counts. */
    private static final byte GOSSIP_SUMS = 2;

    /** How an endpoint misbehaves for a while. */
    private enum Fault {
        NONE,
        ERRORS,
        REJECTS,
        RESETS,
        UNREACHABLE,
        SILENT,
        SLOW,
        LATE_TIMEOUTS
    }

    private record ScheduledEvent(long at, long sequence, RouterEvent event) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private record AttemptKey(long requestId, int attemptNumber) {}

    private static final class EndpointModel {
        /** The entry in the endpoint list. */
        Endpoint endpoint;

        Fault fault = Fault.NONE;
        long faultEndsAt;
        final Set<String> storedSegments = new HashSet<>();
    }

    private final Random random;
    /** How often each kind of event, action or setting has occurred. */
    private final Map<String, Integer> occurrences;

    private final RandomStreamSettings streamSettings;
    private final RoutingEngine engine;
    private final MessageDigest digest;
    private final long meanArrivalInterval;
    private final double lossRate;
    private final boolean hasFlood;
    private final List<EndpointModel> models = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>();
    private final Map<AttemptKey, ScheduledEvent> scheduledOutcomes = new HashMap<>();
    private final Map<Long, List<SendAttempt>> attemptsByRequest = new HashMap<>();
    private final Map<Long, RequestArrived> requestsById = new HashMap<>();
    private final List<Long> gossipedObjects = new ArrayList<>();
    private long now = START_TIME;
    private long nextArrivalAt = START_TIME;
    private long nextRequestId = 1;
    private long nextSequence;
    private int eventCount;
    private int actionCount;

    RandomEventStream(int seed, Map<String, Integer> occurrences) {
        this.random = new Random(seed);
        this.occurrences = occurrences;
        this.streamSettings = new RandomStreamSettings(random, occurrences);
        this.engine = new RoutingEngine(streamSettings.current(), random.nextLong());
        this.hasFlood = seed % 8 == 7;
        this.meanArrivalInterval = (2 + random.nextInt(25)) * MILLIS;
        this.lossRate = random.nextInt(3) == 0 ? 0.1 : 0.01;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (Endpoint endpoint : streamSettings.drawEndpoints(START_TIME)) {
            EndpointModel model = new EndpointModel();
            model.endpoint = endpoint;
            models.add(model);
        }
    }

    int eventCount() {
        return eventCount;
    }

    int actionCount() {
        return actionCount;
    }

    /** Plays the stream and returns the hash of all actions in hexadecimal digits. */
    String play() {
        schedule(now, endpointList(random.nextBoolean() ? EndpointUpdateKind.CACHED : EndpointUpdateKind.SNAPSHOT));
        for (int step = 0; step < STEPS; step++) {
            step();
            if (step == STEPS / 2 && hasFlood) {
                flood();
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    // Requests more objects in one batch than a router remembers.
    private void flood() {
        List<RouterEvent> batch = new ArrayList<>();
        for (int i = 0; i < FLOOD_REQUESTS; i++) {
            RequestArrived request = new RequestArrived(
                    nextRequestId++, 0, "flood" + i, 0, 0, 10, now + 500 * MILLIS, false, null, false);
            requestsById.put(request.requestId(), request);
            batch.add(request);
        }
        handle(batch);
    }

    private void step() {
        long nextEventAt = scheduledEvents.isEmpty()
                ? nextArrivalAt
                : Math.min(nextArrivalAt, scheduledEvents.peek().at());
        long stallTime = random.nextInt(300) == 0 ? random.nextInt(400) * MILLIS : 0;
        long idleTime = random.nextInt(2000) == 0 ? random.nextInt(12_000) * MILLIS : 0;
        now = Math.max(now, nextEventAt + stallTime + idleTime);
        List<RouterEvent> batch = new ArrayList<>();
        while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at() <= now) {
            batch.add(scheduledEvents.poll().event());
        }
        if (nextArrivalAt <= now) {
            int burst = random.nextInt(100) == 0 ? 1 + random.nextInt(12) : 1;
            for (int i = 0; i < burst; i++) {
                addRandomEvent(batch);
            }
            nextArrivalAt = now + 1 + (long) (-StrictMath.log(1 - random.nextDouble()) * meanArrivalInterval);
        }
        handle(batch);
    }

    private void handle(List<RouterEvent> batch) {
        eventCount += batch.size();
        List<RouterAction> actions = engine.handle(now, batch);
        actionCount += actions.size();
        for (RouterAction action : actions) {
            record(action);
            scheduleReply(action);
        }
        recordStatus();
    }

    // ---- Events ----

    private void addRandomEvent(List<RouterEvent> batch) {
        int draw = random.nextInt(1000);
        if (draw < 840) {
            batch.add(drawRequest());
        } else if (draw < 870) {
            batch.add(drawGossip());
        } else if (draw < 890) {
            addClientDisconnect(batch);
        } else if (draw < 910) {
            batch.add(drawPurge());
        } else if (draw < 940) {
            changeEndpoint(batch);
        } else if (draw < 944) {
            countOccurrence("settings changed");
            batch.add(new SettingsChanged(streamSettings.redraw()));
        } else if (draw < 954) {
            countOccurrence("quota changed");
            batch.add(new QuotaChanged(random.nextDouble() * 3));
        } else if (draw < 964) {
            batch.add(drawStrayEvent());
        } else {
            startFault();
        }
    }

    private RouterEvent drawRequest() {
        List<RequestClass> classes = streamSettings.current().classes();
        int classIndex = random.nextInt(classes.size());
        boolean reusesLastId = random.nextInt(200) == 0 && nextRequestId > 1;
        long id = reusesLastId ? nextRequestId - 1 : nextRequestId++;
        String object = "object" + (int) (Math.pow(random.nextInt(1000) / 1000.0, 3) * 150);
        int segment = classes.get(classIndex).segmented() ? random.nextInt(4) : 0;
        double sizeKb = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(500) * (random.nextInt(10) == 0 ? 20 : 1);
        long expiresAt = now + classes.get(classIndex).deadline();
        boolean clientRetry = random.nextInt(10) == 0;
        boolean write = random.nextInt(20) == 0;
        RequestArrived request = new RequestArrived(
                id, classIndex, object, segment, random.nextInt(5), sizeKb, expiresAt, clientRetry, "key" + id, write);
        requestsById.putIfAbsent(id, request);
        countOccurrence("idempotency " + classes.get(classIndex).idempotency().ordinal());
        countOccurrence("deduplication scope "
                + classes.get(classIndex).deduplicationScope().ordinal());
        countOccurrence("streaming " + classes.get(classIndex).streaming());
        countOccurrence("fresh until purged " + (classes.get(classIndex).freshnessLifetime() == 0));
        countOccurrence("segmented " + classes.get(classIndex).segmented());
        countOccurrence("uncacheable " + classes.get(classIndex).uncacheable());
        return request;
    }

    private RouterEvent drawGossip() {
        int sender = random.nextInt(streamSettings.current().topology().routers() + 2) - 1;
        int entries = 1 + random.nextInt(25);
        byte[] payload = drawGossipPayload(random.nextBoolean() ? GOSSIP_REPORT : GOSSIP_SUMS, entries);
        int draw = random.nextInt(6);
        if (draw == 0) {
            countOccurrence("gossip truncated");
            return new GossipReceived(sender, Arrays.copyOf(payload, random.nextInt(payload.length)));
        }
        if (draw == 1) {
            countOccurrence("gossip too long");
            return new GossipReceived(sender, drawGossipPayload(GOSSIP_REPORT, 26 + random.nextInt(10)));
        }
        if (draw == 2) {
            countOccurrence("gossip random");
            byte[] bytes = new byte[1 + 10 * random.nextInt(25)];
            random.nextBytes(bytes);
            return new GossipReceived(sender, bytes);
        }
        countOccurrence("gossip well-formed");
        return new GossipReceived(sender, payload);
    }

    private byte[] drawGossipPayload(byte kind, int entries) {
        ByteBuffer payload = ByteBuffer.allocate(1 + 10 * entries).put(kind);
        for (int i = 0; i < entries; i++) {
            boolean known = !gossipedObjects.isEmpty() && random.nextInt(10) > 0;
            payload.putLong(known ? gossipedObjects.get(random.nextInt(gossipedObjects.size())) : random.nextLong());
            payload.putShort((short) (random.nextInt(10) == 0 ? random.nextInt(65_536) : random.nextInt(60)));
        }
        return payload.array();
    }

    private void addClientDisconnect(List<RouterEvent> batch) {
        long requestId = Math.max(1, nextRequestId - 1 - random.nextInt(20));
        countOccurrence("client disconnected");
        batch.add(new ClientDisconnected(requestId));
    }

    private RouterEvent drawPurge() {
        boolean wholeGroup = random.nextInt(4) == 0;
        countOccurrence(wholeGroup ? "purge of group" : "purge of object");
        String object = wholeGroup ? null : "object" + random.nextInt(30);
        return new ContentPurged(object, random.nextInt(5), random.nextInt(500) * MILLIS);
    }

    // An event of a request, an attempt or a timer that the router does not know.
    private RouterEvent drawStrayEvent() {
        return switch (random.nextInt(4)) {
            case 0 ->
                new AttemptFinished(nextRequestId + 7, 0, 1, AttemptOutcome.OK, 10 * MILLIS, true, CacheStatus.UNKNOWN);
            case 1 ->
                new AttemptFinished(
                        Math.max(1, nextRequestId - 3),
                        9,
                        1,
                        AttemptOutcome.ERROR,
                        10 * MILLIS,
                        false,
                        CacheStatus.UNKNOWN);
            case 2 -> new StreamStarted(nextRequestId + 7, 0);
            default -> new TimerFired("other");
        };
    }

    // Drains or removes a ready endpoint; brings back another one, restarted and without copies, or as it was.
    private void changeEndpoint(List<RouterEvent> batch) {
        EndpointModel model = models.get(random.nextInt(models.size()));
        Endpoint previous = model.endpoint;
        EndpointLifecycle lifecycle;
        long startedAt = previous.startedAt();
        if (previous.lifecycle() == EndpointLifecycle.READY) {
            lifecycle = random.nextInt(3) == 0 ? EndpointLifecycle.DRAINING : EndpointLifecycle.GONE;
        } else {
            lifecycle = EndpointLifecycle.READY;
            startedAt = random.nextInt(4) == 0 ? startedAt : now - random.nextInt(200) * MILLIS;
            if (startedAt != previous.startedAt()) {
                model.storedSegments.clear();
            }
        }
        model.endpoint = new Endpoint(
                previous.id(),
                previous.zone(),
                previous.role(),
                previous.cell(),
                lifecycle,
                previous.weight(),
                startedAt);
        if (random.nextInt(10) == 0) {
            batch.add(endpointList(EndpointUpdateKind.SNAPSHOT));
        } else {
            countOccurrence("endpoint update " + EndpointUpdateKind.DELTA.ordinal());
            batch.add(new EndpointsChanged(EndpointUpdateKind.DELTA, List.of(model.endpoint)));
        }
        if (random.nextInt(20) == 0) {
            batch.add(endpointList(EndpointUpdateKind.FAILED));
        }
    }

    private RouterEvent endpointList(EndpointUpdateKind kind) {
        countOccurrence("endpoint update " + kind.ordinal());
        List<Endpoint> listed = new ArrayList<>();
        for (EndpointModel model : models) {
            boolean isListed = kind != EndpointUpdateKind.FAILED
                    && (model.endpoint.lifecycle() != EndpointLifecycle.GONE || random.nextBoolean());
            if (isListed) {
                listed.add(model.endpoint);
                countOccurrence("role " + model.endpoint.role().ordinal());
                countOccurrence("lifecycle " + model.endpoint.lifecycle().ordinal());
            }
        }
        return new EndpointsChanged(kind, listed);
    }

    private void startFault() {
        EndpointModel model = models.get(random.nextInt(models.size()));
        Fault[] faults = Fault.values();
        model.fault = faults[random.nextInt(faults.length)];
        boolean permanent = random.nextInt(10) == 0;
        model.faultEndsAt = permanent ? Long.MAX_VALUE : now + (300 + random.nextInt(4000)) * MILLIS;
    }

    // ---- Replies to the router's actions ----

    private void scheduleReply(RouterAction action) {
        if (action instanceof SendAttempt send) {
            scheduleOutcome(send);
        } else if (action instanceof CancelAttempt cancel) {
            scheduleCancelOutcome(cancel.requestId(), cancel.attempt());
        } else if (action instanceof StartTimer timer) {
            schedule(timer.dueAt() + random.nextInt(2000), new TimerFired(timer.name()));
        } else if (action instanceof SendGossip gossip) {
            scheduleGossipReply(gossip.router(), gossip.payload());
        } else if (action instanceof WatchEndpoints) {
            schedule(
                    now + random.nextInt(300) * MILLIS,
                    endpointList(random.nextInt(3) == 0 ? EndpointUpdateKind.FAILED : EndpointUpdateKind.SNAPSHOT));
        }
    }

    private void scheduleOutcome(SendAttempt send) {
        List<SendAttempt> attempts = attemptsByRequest.computeIfAbsent(send.requestId(), id -> new ArrayList<>());
        int attemptNumber = attempts.size();
        attempts.add(send);
        EndpointModel model = modelOf(send.endpointId());
        if (model.faultEndsAt < now) {
            model.fault = Fault.NONE;
        }
        if (random.nextDouble() < lossRate || model.fault == Fault.SILENT && random.nextInt(10) > 0) {
            countOccurrence("lost answer");
            return;
        }
        RequestArrived request = requestsById.get(send.requestId());
        boolean hasCopy = model.storedSegments.contains(request.object() + "/" + request.segment());
        AttemptOutcome outcome = drawOutcome(send, model, hasCopy);
        long latency = drawLatency(model, outcome, hasCopy);
        if (send.timeout() > 0 && latency > send.timeout()) {
            outcome = AttemptOutcome.TIMEOUT;
            latency = send.timeout();
        }
        CacheStatus cacheStatus = drawCacheStatus(send, outcome, hasCopy);
        if (outcome == AttemptOutcome.OK && send.retentionRank() > 0) {
            model.storedSegments.add(request.object() + "/" + request.segment());
        }
        boolean requestDone = outcome == AttemptOutcome.OK || random.nextInt(50) == 0;
        if (outcome == AttemptOutcome.OK
                && streamSettings
                        .current()
                        .classes()
                        .get(request.requestClass())
                        .streaming()) {
            countOccurrence("stream started");
            schedule(now + latency / 2, new StreamStarted(send.requestId(), attemptNumber));
        }
        RouterEvent attemptFinished = new AttemptFinished(
                send.requestId(), attemptNumber, send.endpointId(), outcome, latency, requestDone, cacheStatus);
        scheduledOutcomes.put(
                new AttemptKey(send.requestId(), attemptNumber), schedule(now + latency, attemptFinished));
        countOccurrence("outcome " + outcome.ordinal());
        countOccurrence("cache status " + cacheStatus.ordinal());
        if (random.nextInt(200) == 0) {
            schedule(now + latency + MILLIS, attemptFinished);
        }
    }

    private AttemptOutcome drawOutcome(SendAttempt send, EndpointModel model, boolean hasCopy) {
        if (!hasCopy && send.onlyIfCached() && random.nextInt(4) == 0) {
            return AttemptOutcome.MISS;
        }
        if (!hasCopy && send.fillSourceId() == send.endpointId() && random.nextInt(2) == 0) {
            return random.nextBoolean() ? AttemptOutcome.MISS : AttemptOutcome.OVERLOADED;
        }
        int draw = random.nextInt(100);
        if (draw >= 85) {
            return draw < 92
                    ? AttemptOutcome.OK
                    : AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
        }
        return switch (model.fault) {
            case NONE, SILENT, SLOW -> AttemptOutcome.OK;
            case ERRORS -> AttemptOutcome.ERROR;
            case REJECTS -> AttemptOutcome.OVERLOADED;
            case RESETS -> AttemptOutcome.RESET;
            case UNREACHABLE -> AttemptOutcome.CONNECT_FAILED;
            case LATE_TIMEOUTS -> draw < 60 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK;
        };
    }

    private long drawLatency(EndpointModel model, AttemptOutcome outcome, boolean hasCopy) {
        if (outcome == AttemptOutcome.TIMEOUT) {
            return (500 + random.nextInt(2500)) * MILLIS;
        }
        if (outcome == AttemptOutcome.OK) {
            int factor = model.fault == Fault.SLOW ? 10 : random.nextInt(30) == 0 ? 8 : 1;
            return factor * (hasCopy ? 2 + random.nextInt(60) : 20 + random.nextInt(200)) * MILLIS
                    + random.nextInt(1000);
        }
        return (1 + random.nextInt(50)) * MILLIS;
    }

    private CacheStatus drawCacheStatus(SendAttempt send, AttemptOutcome outcome, boolean hasCopy) {
        CacheStatusDetail detail = streamSettings.current().upstream().cacheStatusDetail();
        if (detail == CacheStatusDetail.NONE) {
            return CacheStatus.UNKNOWN;
        }
        if (detail == CacheStatusDetail.HITS) {
            return outcome == AttemptOutcome.OK && hasCopy ? CacheStatus.HIT : CacheStatus.UNKNOWN;
        }
        int draw = random.nextInt(10);
        return switch (outcome) {
            case OK -> hasCopy ? (draw == 0 ? CacheStatus.STALE : CacheStatus.HIT) : statusOfFill(send, draw);
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

    private CacheStatus statusOfFill(SendAttempt send, int draw) {
        if (draw == 0) {
            return CacheStatus.COALESCED;
        }
        return modelOf(send.fillSourceId()).endpoint.role() == EndpointRole.ORIGIN
                ? CacheStatus.FILLED_FROM_ORIGIN
                : CacheStatus.FILLED;
    }

    private void scheduleCancelOutcome(long requestId, int attemptNumber) {
        ScheduledEvent scheduledOutcome = scheduledOutcomes.get(new AttemptKey(requestId, attemptNumber));
        if (scheduledOutcome != null) {
            if (!scheduledEvents.remove(scheduledOutcome)) {
                return;
            }
        }
        long endpointId = attemptsByRequest.get(requestId).get(attemptNumber).endpointId();
        AttemptOutcome outcome = random.nextInt(6) == 0 ? AttemptOutcome.SUPERSEDED : AttemptOutcome.CANCELLED;
        countOccurrence("outcome " + outcome.ordinal());
        boolean requestDone = random.nextInt(20) == 0;
        schedule(
                now + MILLIS,
                new AttemptFinished(
                        requestId, attemptNumber, endpointId, outcome, 5 * MILLIS, requestDone, CacheStatus.UNKNOWN));
    }

    private void scheduleGossipReply(int router, byte[] payload) {
        ByteBuffer message = ByteBuffer.wrap(payload);
        byte kind = message.get();
        ByteBuffer reply = ByteBuffer.allocate(payload.length).put(GOSSIP_SUMS);
        while (message.hasRemaining()) {
            long object = message.getLong();
            int count = message.getShort() + random.nextInt(100);
            if (gossipedObjects.size() < 500) {
                gossipedObjects.add(object);
            }
            reply.putLong(object).putShort((short) count);
        }
        if (kind == GOSSIP_REPORT && random.nextInt(5) > 0) {
            schedule(now + random.nextInt(20) * MILLIS, new GossipReceived(router, reply.array()));
        }
    }

    private EndpointModel modelOf(long endpointId) {
        return models.stream()
                .filter(model -> model.endpoint.id() == endpointId)
                .findFirst()
                .orElseThrow();
    }

    private ScheduledEvent schedule(long at, RouterEvent event) {
        ScheduledEvent scheduled = new ScheduledEvent(at, nextSequence++, event);
        scheduledEvents.add(scheduled);
        return scheduled;
    }

    // ---- Record of the decisions ----

    private void record(RouterAction action) {
        if (action instanceof SendAttempt send) {
            countSendOccurrences(send);
            addToHash(
                    "send",
                    send.requestId(),
                    send.endpointId(),
                    send.timeout(),
                    send.fillSourceId(),
                    send.retentionRank(),
                    send.maxAge(),
                    send.coalesce(),
                    send.onlyIfCached(),
                    send.refreshInBackground());
        } else if (action instanceof CancelAttempt cancel) {
            addToHash("cancel", cancel.requestId(), cancel.attempt());
        } else if (action instanceof RejectRequest reject) {
            addToHash("reject", reject.requestId(), reject.retryAfter());
        } else if (action instanceof FailRequest fail) {
            addToHash("fail", fail.requestId());
        } else if (action instanceof StartTimer timer) {
            addToHash("timer", timer.name(), timer.dueAt());
        } else if (action instanceof SendGossip gossip) {
            addToHash("gossip", gossip.router(), HexFormat.of().formatHex(gossip.payload()));
        } else if (action instanceof WatchEndpoints) {
            addToHash("watch");
        } else {
            throw new AssertionError("unexpected type of action: " + action);
        }
    }

    private void countSendOccurrences(SendAttempt send) {
        countOccurrence("retention rank " + send.retentionRank());
        if (send.timeout() > 0) {
            countOccurrence("with timeout");
        }
        if (send.maxAge() > 0) {
            countOccurrence("with maximum copy age");
        }
        if (attemptsByRequest.containsKey(send.requestId())) {
            countOccurrence("second attempt");
        }
        if (modelOf(send.endpointId()).endpoint.role() == EndpointRole.PARENT) {
            countOccurrence("attempt at parent");
        }
        if (send.onlyIfCached()) {
            countOccurrence("fill from sibling");
        } else if (send.fillSourceId() == send.endpointId()) {
            countOccurrence("no fill");
        } else {
            boolean fromParent = modelOf(send.fillSourceId()).endpoint.role() == EndpointRole.PARENT;
            countOccurrence(fromParent ? "fill from parent" : "fill from origin");
        }
    }

    private void recordStatus() {
        RouterStatus status = engine.status();
        if (status.ejectedEndpoints() > 0) {
            countOccurrence("ejected");
        }
        if (status.slowStartLimited()) {
            countOccurrence("slow start limited");
        }
        digest.update((byte) status.ejectedEndpoints());
        digest.update((byte) (status.slowStartLimited() ? 1 : 0));
    }

    private void addToHash(String tag, Object... values) {
        countOccurrence("action " + tag);
        StringBuilder line = new StringBuilder(tag);
        line.append('@').append(now);
        for (Object value : values) {
            line.append('|').append(value);
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private void countOccurrence(String label) {
        occurrences.merge(label, 1, Integer::sum);
    }
}
