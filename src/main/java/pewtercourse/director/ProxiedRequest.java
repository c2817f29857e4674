package pewtercourse.director;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.cache.Attempt;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.ClientDisconnected;
import pewtercourse.decision.Idempotency;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.RouterEvent;
import pewtercourse.decision.SendAttempt;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;
import pewtercourse.failover.OverflowDecision;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.memory.MemoryStage;

/**
 * One client request, from its arrival to its one answer. The router orders attempts, one after the other or, where the
 * settings allow it, a hedged one beside the first; the result of each is reported back to the router, and the first that
 * serves the object answers the client.
 * Confined to the event loop; times are microseconds.
 */
final class ProxiedRequest {
    // The router answers a request by its deadline. If the request is still open this long after it, something
    // has gone wrong, and the request is failed without the router.
    private static final long BACKSTOP_DELAY_MICROS = 15_000;
    // A request that can't be answered in time is failed shortly before the client's own deadline. In a day of
    // a fleet, 20 of 169,000 answers came in the last 100 ms before that deadline, while 283 clients got their
    // rejection some milliseconds after it, and one client whose director ended just then got no answer at all.
    private static final long MAX_DEADLINE_MARGIN_MICROS = 100_000;
    private static final double DEADLINE_MARGIN_FRACTION = 0.04;
    private static final long NO_EVENT = -1;

    final long id;
    private final Director director;
    private ClientRequest request; // Without its body once no attempt needs that any more.
    private final int classIndex;
    private final boolean hasEffects;
    private boolean holdsClaim;
    private boolean mayHaveRun;
    private final long deadline;
    private final long backstopTimer;
    private final ClientExchange client;
    private RouterEventQueue queue; // Of the router that handles the request.
    private RequestArrived arrival;
    private long arrivalNumber = NO_EVENT;
    private long lastEventNumber = NO_EVENT;
    private long retainedBytes; // Of the body, which attempts still need after the answer.
    private final Map<Integer, RunningAttempt> running = new LinkedHashMap<>(); // By number.
    private int attempts;
    private boolean closed; // Answered, or its client has disconnected.

    /** An attempt from the router's order to its result. */
    private static final class RunningAttempt {
        final int number;
        final SendAttempt send;
        final long sentAt;
        Attempt attempt;
        boolean purged;

        RunningAttempt(int number, SendAttempt send, long sentAt) {
            this.number = number;
            this.send = send;
            this.sentAt = sentAt;
        }
    }

    ProxiedRequest(Director director, ClientRequest request, int classIndex, ClientExchange client) {
        this.director = director;
        this.id = parseId(request);
        this.request = request;
        this.classIndex = classIndex;
        this.hasEffects =
                director.siteSettings.router().classes().get(classIndex).idempotency() != Idempotency.SAFE;
        this.deadline = deadlineOf(request);
        this.client = client;
        this.queue = director.localRouterQueue();
        this.backstopTimer = director.timers.set(
                Timers.millis(deadline + BACKSTOP_DELAY_MICROS - director.clock.getAsLong()), this::failUnanswered);
    }

    /** The correlation id as a number. */
    static long parseId(ClientRequest request) {
        return Long.parseUnsignedLong(request.id(), 16);
    }

    /**
     * Clock time by which a request is answered or failed; it lies before the time at which the client stops
     * waiting.
     */
    static long deadlineOf(ClientRequest request) {
        long waitMicros = (long) (request.deadlineMs() * 1000);
        return request.arrivedAtMicros()
                + waitMicros
                - (long) Math.min(MAX_DEADLINE_MARGIN_MICROS, DEADLINE_MARGIN_FRACTION * waitMicros);
    }

    // ---- Arrival ----

    /** Chooses the site that serves the request and passes the request to the router for its caches. */
    void route() {
        OverflowDecision decision = director.chooseSite(request, classIndex, deadline);
        if (decision != null && decision.rejected()) {
            reject(decision.retryAfterMicros());
            return;
        }
        if (decision != null) {
            queue = director.routerQueue(decision.site().orElseThrow());
        }
        arrival = RouterMessages.toArrival(
                request,
                id,
                classIndex,
                director.siteSettings.router().classes().get(classIndex),
                deadline);
        arrivalNumber = enqueue(arrival);
    }

    // ---- Attempts ----

    /** Starts the attempt that the router ordered. */
    void sendAttempt(SendAttempt send) {
        long now = director.clock.getAsLong();
        RunningAttempt started = new RunningAttempt(attempts++, send, now);
        WatchedEndpoint cache = director.registry.get(send.endpointId());
        WatchedEndpoint source =
                send.fillSourceId() == send.endpointId() ? null : director.registry.get(send.fillSourceId());
        long attemptDeadline = send.timeout() > 0 ? Math.min(deadline, now + send.timeout()) : deadline;
        boolean unlisted = cache == null || source == null && send.fillSourceId() != send.endpointId();
        // Never two attempts at a time unless the settings allow it, never an endpoint that is not listed, never after
        // the
        // deadline.
        if (closed
                || !mayRunAnother()
                || unlisted
                || attemptDeadline <= now
                || attempts > director.siteSettings.router().retry().maxAttempts()) {
            enqueue(attemptFinished(started, CacheResponse.of(AttemptResult.OVERTAKEN)));
            return;
        }
        if (hasEffects && !claimId()) {
            Log.counted("request.claimed", "id", request.id(), "class", request.className());
            enqueue(attemptFinished(started, CacheResponse.of(AttemptResult.OVERTAKEN)));
            abort();
            return;
        }
        CacheRequest cacheRequest = RouterMessages.toCacheRequest(
                request, send, source == null ? null : source.name(), retentionRank(send));
        started.attempt = new Attempt(
                director.pool,
                director.timers,
                director.clock,
                send.endpointId(),
                cache.address(),
                cacheRequest,
                director.siteSettings.connectTimeoutMicros(),
                attemptDeadline,
                () -> maySend(started),
                response -> onAttemptFinished(started, response));
        running.put(started.number, started);
        started.attempt.start();
    }

    // Before anything is sent: another process of this director may have got the same request.
    private boolean claimId() {
        holdsClaim = holdsClaim || director.claimedIds().claim(id);
        return holdsClaim;
    }

    // A request that has run nowhere may come again.
    private void releaseUnusedClaim(AttemptResult result) {
        mayHaveRun |= AttemptOutcomes.mayHaveRun(result);
        if (holdsClaim && !mayHaveRun && running.isEmpty()) {
            director.claimedIds().release(id);
            holdsClaim = false;
        }
    }

    private boolean mayRunAnother() {
        return running.isEmpty() || director.siteSettings.router().features().parallelAttempts();
    }

    // Copies that another zone's cache stores for this site's clients are evicted first: once this site serves
    // them again, those copies are of no use.
    private int retentionRank(SendAttempt send) {
        return queue.isRemoteZone() ? Math.min(1, send.retentionRank()) : send.retentionRank();
    }

    // While the connection was established or the event loop was behind, the client may have disconnected, another
    // attempt
    // may have been answered, and the control feed may have changed an endpoint or purged the object.
    private boolean maySend(RunningAttempt waiting) {
        SendAttempt send = waiting.send;
        boolean isClientKnownToWait = client.readArrived();
        readArrivedResponses();
        if (!isClientKnownToWait) {
            refuseFloodingClient();
        }
        return !closed
                && !waiting.purged
                && director.registry.isReady(send.endpointId())
                && (send.fillSourceId() == send.endpointId() || director.registry.isReady(send.fillSourceId()));
    }

    // Its end, or an abort, may stand behind more records than one client may have handled at once.
    private void refuseFloodingClient() {
        Log.counted("request.client_floods", "id", request.id(), "class", request.className());
        answerClient(Answer.refused(Director.OVERLOAD_RETRY_AFTER_MS));
    }

    private void readArrivedResponses() {
        List.copyOf(running.values()).forEach(attempt -> attempt.attempt.readArrived());
    }

    /** Records a purge; if it is of this object, an attempt that still waits for its connection is not sent. */
    void recordPurge(WatchEvent.Purge purge) {
        boolean purged =
                purge.object() != null ? purge.object().equals(request.object()) : purge.group() == request.group();
        running.values().forEach(attempt -> attempt.purged |= purged);
    }

    /** Cancels the attempt of this number, if it runs. */
    void cancelAttempt(int number) {
        RunningAttempt cancelled = running.get(number);
        if (cancelled != null) {
            cancelled.attempt.cancel();
        }
    }

    private void cancelAttempts() {
        List.copyOf(running.keySet()).forEach(this::cancelAttempt);
    }

    private void onAttemptFinished(RunningAttempt ended, CacheResponse response) {
        running.remove(ended.number);
        SendAttempt send = ended.send;
        releaseUnusedClaim(response.result());
        if (response.result() == AttemptResult.SERVED) {
            answerClient(Answer.served(response.body(), response.tag()));
        } else if (response.result() == AttemptResult.NOT_MODIFIED) {
            answerClient(Answer.same(response.tag()));
        }
        if (director.tracing) {
            Log.info(
                    "attempt.ended",
                    "id",
                    request.id(),
                    "number",
                    ended.number,
                    "cache",
                    Long.toHexString(send.endpointId()),
                    "source",
                    Long.toHexString(send.fillSourceId()),
                    "end",
                    response.result(),
                    "outcome",
                    response.outcomeHeader(),
                    "bytes",
                    response.body() == null ? 0 : response.body().length(),
                    "kb",
                    request.sizeKb(),
                    "ms",
                    (director.clock.getAsLong() - ended.sentAt) / 1000);
        }
        if (director.siteObserverOrNull() != null) {
            observeAttempt(ended, response.result());
        }
        enqueue(attemptFinished(ended, response));
        removeIfFinished();
    }

    private void observeAttempt(RunningAttempt ended, AttemptResult result) {
        WatchedEndpoint cache = director.registry.get(ended.send.endpointId());
        if (cache != null) {
            long now = director.clock.getAsLong();
            RequestClass requestClass = director.siteSettings.router().classes().get(classIndex);
            double transferMicros = director.siteSettings.router().bandwidth().clientKbPerSecond() > 0
                    ? request.sizeKb()
                            / director.siteSettings.router().bandwidth().clientKbPerSecond()
                            * 1e6
                    : 0;
            director.siteObserverOrNull()
                    .recordAttempt(
                            now,
                            cache.zone(),
                            result,
                            now - ended.sentAt
                                    > requestClass.latencyObjective()
                                            + requestClass.transferAllowance() * transferMicros);
        }
    }

    private AttemptFinished attemptFinished(RunningAttempt ended, CacheResponse response) {
        return RouterMessages.toAttemptFinished(
                ended.send, ended.number, response, director.clock.getAsLong() - ended.sentAt, closed);
    }

    // ---- Rejection and failure ----

    /** Tells the client to retry later. */
    void reject(long retryAfterMicros) {
        if (director.siteObserverOrNull() != null && !queue.isRemoteZone() && arrival != null) {
            director.siteObserverOrNull().recordRejection(director.clock.getAsLong());
        }
        answerClient(Answer.refused(retryAfterMicros / 1000));
        removeIfFinished();
    }

    /** Answers the client that the request failed, as the router orders it where no attempt runs. */
    void fail() {
        answerClient(Answer.failed());
        removeIfFinished();
    }

    /** Gives the request up, as its client has disconnected. */
    void onClientDisconnected() {
        if (!closed) {
            closed = true;
            director.timers.cancel(backstopTimer);
            // A request that is withdrawn before the router has seen it is never routed. Otherwise hundreds of
            // requests that arrive and disconnect at once would count against the concurrency limits until
            // their attempts finish.
            if (queue.remove(arrivalNumber)) {
                director.removeRequest(this);
                return;
            }
            retainBody();
            enqueue(new ClientDisconnected(id));
            cancelAttempts();
            removeIfFinished();
        }
    }

    /** Fails the request if its deadline has passed without an answer. */
    void failIfExpired(long now) {
        if (!closed && now >= deadline) {
            failUnanswered();
        }
    }

    private void failUnanswered() {
        readArrivedResponses();
        if (closed) {
            return;
        }
        Log.warn(
                "request.unanswered",
                "id",
                request.id(),
                "class",
                request.className(),
                "attempts",
                attempts,
                "out",
                !running.isEmpty(),
                "late_ms",
                (director.clock.getAsLong() - deadline) / 1000,
                "age_ms",
                (director.clock.getAsLong() - request.arrivedAtMicros()) / 1000);
        abort();
    }

    /** Fails the request without the router, and cancels its attempt. */
    void abort() {
        answerClient(Answer.failed());
        enqueue(new ClientDisconnected(id));
        cancelAttempts();
        removeIfFinished();
    }

    private void answerClient(Answer finalAnswer) {
        if (!closed) {
            closed = true;
            director.timers.cancel(backstopTimer);
            if (director.tracing) {
                Log.info(
                        "request.answered",
                        "id",
                        request.id(),
                        "class",
                        request.className(),
                        "kind",
                        finalAnswer.kind(),
                        "attempts",
                        attempts,
                        "ms",
                        (director.clock.getAsLong() - request.arrivedAtMicros()) / 1000);
            }
            director.recordAnswered(this);
            retainBody();
            client.accept(finalAnswer);
        }
    }

    private long enqueue(RouterEvent event) {
        lastEventNumber = queue.enqueue(event);
        return lastEventNumber;
    }

    // The front counts the bytes of the body until the answer or the client's leave, this request from then on.
    private void retainBody() {
        if (!running.isEmpty()) {
            retainedBytes = request.body().length();
            director.held.add(MemoryStage.REQUESTS, retainedBytes);
        }
    }

    private void dropBody() {
        request = request.withoutBody();
        director.held.release(MemoryStage.REQUESTS, retainedBytes);
        retainedBytes = 0;
    }

    // The request stays registered until the router has handled the events that refer to it: the router may
    // order one more attempt in the same batch and must learn its outcome, or the attempt would count against
    // the limits for good.
    private void removeIfFinished() {
        if (closed && running.isEmpty()) {
            dropBody();
            queue.removeAfterEvent(this, lastEventNumber);
        }
    }
}
