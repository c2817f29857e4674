package pewtercourse.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** Handles a request from its first attempt through its retries to its final answer. */
final class RequestDispatcher {
    /**
     * Delay that a rejected client is advised to wait, as a share of its latency objective: short enough that
     * its retry may still be served within the objective. The delay is spread randomly up to twice this value,
     * so that clients don't all come back at once.
     */
    private static final double RETRY_AFTER_SHARE = 0.25;

    private final RoutingContext context;
    private final ActionBuffer actions;
    private final Random random;
    private final RoutingParts parts;
    private final RetryBudget retries = new RetryBudget();
    private final Map<Long, RequestState> requests = new LinkedHashMap<>();
    private final Map<GiveUpReason, Long> givenUp = new EnumMap<>(GiveUpReason.class);

    RequestDispatcher(RoutingContext context, ActionBuffer actions, Random random, RoutingParts parts) {
        this.context = context;
        this.actions = actions;
        this.random = random;
        this.parts = parts;
    }

    /** Number of requests given up so far, for each reason. */
    Map<GiveUpReason, Long> givenUp() {
        return Collections.unmodifiableMap(givenUp);
    }

    /** Registers a new request. Returns false if a request with the same id is in progress. */
    boolean register(RequestState request) {
        if (requests.putIfAbsent(request.id(), request) != null) {
            return false;
        }
        retries.onRequest();
        return true;
    }

    /** Sends the next attempt of the request, or gives its final answer. */
    void advance(RequestState request) {
        if (request.finished || request.streaming) {
            return;
        }
        if (context.now() + (long) request.transferTime > request.arrival.expiresAt()) {
            giveUp(request, GiveUpReason.DEADLINE);
            return;
        }
        if (request.attempts.size() >= context.settings().retry().maxAttempts()) {
            giveUp(request, GiveUpReason.ATTEMPTS);
            return;
        }
        long slowStartRefusals = parts.slowStart().refusals();
        EndpointState cache = parts.cacheSelector().select(request);
        if (cache != null) {
            sendTo(cache, request);
        } else {
            boolean limitedBySlowStart = parts.slowStart().refusals() > slowStartRefusals;
            bypassCaches(request, limitedBySlowStart ? GiveUpReason.SLOW_START : GiveUpReason.NO_ENDPOINT);
        }
    }

    private void sendTo(EndpointState cache, RequestState request) {
        EndpointState sibling = parts.sourceSelector().selectSibling(request, cache);
        if (sibling != null) {
            parts.sender().send(request, cache, sibling, true);
            return;
        }
        // Requests that only the origin can answer are rare and small and can't be served otherwise. They bypass
        // the limit on fills, which protects against large numbers of requests. They may thus add a little load
        // to a crowded link.
        boolean mayFill =
                !request.isCacheable() || fillsAdmit(request) || parts.hints().isLikelyHeld(request, cache);
        EndpointState parent = mayFill ? parts.sourceSelector().selectParent(request) : null;
        parts.sender().send(request, cache, parent == null ? cache : parent, false);
    }

    // Handles a request for which no cache may be used. If allowed, it goes directly to a parent while no cache
    // is listed.
    private void bypassCaches(RequestState request, GiveUpReason reasonWithoutCache) {
        boolean allowed = context.settings().features().cacheBypassAllowed()
                && parts.endpoints().caches().isEmpty()
                && fillsAdmit(request);
        EndpointState parent = allowed ? parts.sourceSelector().selectParent(request) : null;
        if (parent != null && parts.idempotency().allowsAttempt(request, parent)) {
            EndpointState origin = parts.endpoints().origin();
            parts.sender().send(request, parent, origin != null ? origin : parent, false);
        } else {
            giveUp(request, reasonWithoutCache);
        }
    }

    private boolean fillsAdmit(RequestState request) {
        return parts.fills().limiter.admits(parts.transferTimes().relativeSize(request));
    }

    /** Handles the end of an attempt; unknown attempts are ignored. */
    void onAttemptFinished(AttemptFinished end) {
        RequestState request = requests.get(end.requestId());
        if (request == null || end.attempt() < 0 || end.attempt() >= request.attempts.size()) {
            return;
        }
        AttemptState attempt = request.attempts.get(end.attempt());
        if (attempt.ended) {
            return;
        }
        recordAttemptEnd(request, attempt, end);
        if (end.requestDone() || end.outcome() == AttemptOutcome.OK) {
            finish(request);
        } else if (!request.finished) {
            retryOrGiveUp(request, attempt, end.outcome());
        }
        if (request.finished && request.attemptsInFlight == 0) {
            requests.remove(end.requestId());
        }
    }

    private void recordAttemptEnd(RequestState request, AttemptState attempt, AttemptFinished end) {
        AttemptOutcome outcome = end.outcome();
        if (!attempt.overdue) {
            parts.sender().release(attempt);
        } else if (outcome != AttemptOutcome.CANCELLED && attempt.endpoint.answeredSince(attempt.sentAt)) {
            parts.timeouts().onOverdueAttemptEnded(outcome == AttemptOutcome.OK);
        }
        request.onAttemptEnded(attempt, outcome);
        if (outcome.neverRan()) {
            parts.idempotency().onAttemptNeverRan(request, attempt.possibleRun);
        }
        parts.slowStart().onAttemptEnded(request, attempt, end);
        parts.feedback().onAttemptEnded(request, attempt, end);
    }

    // Sends a retry or gives up the request. A retry counts against the retry budget, unless the last attempt
    // only showed that an endpoint lacks the object. A request that two caches answered with an error is not
    // retried: its retries would use up the budget of the others. A request that reached no cache is rejected
    // while its client has half of its time left: a zone that is cut off must not hold requests that nobody
    // works on.
    private void retryOrGiveUp(RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        if (request.attemptsInFlight > 0) {
            return;
        }
        boolean exemptFromBudget =
                outcome == AttemptOutcome.MISS || attempt.fromSibling && outcome == AttemptOutcome.OVERLOADED;
        GiveUpReason reason = reasonNotToRetry(request, attempt, exemptFromBudget);
        if (reason != null) {
            giveUp(request, reason);
            return;
        }
        if (!exemptFromBudget) {
            retries.spend();
        }
        advance(request);
    }

    // Null if the request may be retried.
    private GiveUpReason reasonNotToRetry(RequestState request, AttemptState attempt, boolean exemptFromBudget) {
        if (hasWaitedTooLongUnreached(request, attempt)) {
            return GiveUpReason.UNREACHED;
        }
        if (request.suspectedCaches.size() > 1) {
            return GiveUpReason.UNUSABLE_REQUEST;
        }
        if (!exemptFromBudget && !retries.hasRetry()) {
            return GiveUpReason.RETRY_BUDGET;
        }
        return attempt.hasNoFill() && !fillsAdmit(request) ? GiveUpReason.FILL_LIMIT : null;
    }

    // Whether no cache was reached and another attempt of this duration would end after the first half of the
    // client's waiting time.
    private boolean hasWaitedTooLongUnreached(RequestState request, AttemptState attempt) {
        long now = context.now();
        long halfTime = request.arrivedAt + (request.arrival.expiresAt() - request.arrivedAt) / 2;
        return !request.reachedCache && now + (now - attempt.sentAt) > halfTime;
    }

    // Gives the final answer as soon as no attempt is left. The client is advised when to retry, even if it is
    // unknown whether clients follow the advice: those that do retry at different times and within their
    // objective, the others lose nothing.
    private void giveUp(RequestState request, GiveUpReason reason) {
        if (request.attemptsInFlight > 0) {
            return;
        }
        givenUp.merge(reason, 1L, Long::sum);
        actions.add(
                parts.idempotency().allowsRejection(request, maxRetryAfter(request))
                        ? new RejectRequest(request.id(), retryAfter(request))
                        : new FailRequest(request.id()));
        finish(request);
    }

    private long retryAfter(RequestState request) {
        long advice = (long) (leastRetryAfter(request) * (1 + random.nextDouble()));
        return Math.min(context.settings().retry().maxRetryAfter(), advice);
    }

    private long maxRetryAfter(RequestState request) {
        return Math.min(context.settings().retry().maxRetryAfter(), (long) (2 * leastRetryAfter(request)));
    }

    private static double leastRetryAfter(RequestState request) {
        return RETRY_AFTER_SHARE * request.requestClass.latencyObjective();
    }

    void onStreamStarted(long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            request.streaming = true;
        }
    }

    void onClientDisconnected(long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            finish(request);
        }
    }

    private void finish(RequestState request) {
        boolean cancelAttempts = !request.finished
                && !request.streaming
                && context.settings().features().attemptCancellation();
        for (int index = 0; index < request.attempts.size(); index++) {
            if (cancelAttempts && !request.attempts.get(index).ended) {
                actions.add(new CancelAttempt(request.id(), index));
            }
        }
        request.finished = true;
        if (request.attemptsInFlight == 0) {
            requests.remove(request.id());
        }
    }

    /** Handles attempts of all requests that have become overdue. */
    void checkOverdue() {
        for (RequestState request : new ArrayList<>(requests.values())) {
            checkOverdue(request);
        }
    }

    // Sends another attempt beside an overdue one. If parallel attempts are not allowed, the overdue attempt is
    // cancelled and replaced, but only if the new one can still be in time, if answers are being lost or if the
    // cache is ejected: a large transfer that is started twice ends late. This handles lost answers, hangs,
    // stalls and cut links. An attempt whose answer is lost releases its capacity and is blamed on nobody; an
    // endpoint is blamed only if it has answered nothing since. A long stall of all endpoints costs one retry
    // per request, within the retry budget.
    private void checkOverdue(RequestState request) {
        int attempts = request.attempts.size();
        for (int index = 0; index < attempts && !request.streaming && !request.finished; index++) {
            AttemptState attempt = request.attempts.get(index);
            if (attempt.ended
                    || attempt.overdue
                    || context.now() < parts.timeouts().dueAt(attempt)) {
                continue;
            }
            parts.outliers().onOverdue(attempt);
            attempt.overdue = true;
            parts.sender().release(attempt);
            request.failedEndpoints.add(attempt.endpoint);
            hedge(request, attempt, index);
        }
    }

    private void hedge(RequestState request, AttemptState overdue, int index) {
        boolean inTime = context.now() + request.transferTime < request.arrival.expiresAt();
        if (!request.isSafe() || !retries.hasRetry() || !inTime) {
            return;
        }
        RouterFeatures features = context.settings().features();
        if (features.parallelAttempts()) {
            retries.spend();
            advance(request);
        } else if (features.attemptCancellation() && isWorthReplacing(request, overdue)) {
            actions.add(new CancelAttempt(request.id(), index));
        }
    }

    private boolean isWorthReplacing(RequestState request, AttemptState overdue) {
        return overdue.endpoint.health.isEjected()
                || parts.timeouts().isLossy()
                || context.now() + overdue.expectedTime < overdue.sentAt + request.latencyObjective();
    }
}
