package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until its last attempt has ended. */
final class RequestState {
    final RequestArrived arrival;
    /** The settings of the request's class when the request arrived. */
    final RequestClass requestClass;

    final long objectHash;
    final long segmentHash;
    /** Estimated microseconds to send the answer to the client. */
    final double transferTime;

    final long arrivedAt;
    final List<AttemptState> attempts = new ArrayList<>(2);
    /** Endpoints at which an attempt failed, one entry per failure. */
    final List<EndpointState> failedEndpoints = new ArrayList<>(2);
    /** Sources from which a fill failed. */
    final List<EndpointState> failedSources = new ArrayList<>(2);
    /** Caches that answered with an error. */
    final List<EndpointState> suspectedCaches = new ArrayList<>(2);
    /** Parents from which the failed attempts were to fill. */
    final List<EndpointState> suspectedSources = new ArrayList<>(2);

    /** Attempts in flight. */
    int attemptsInFlight;
    /** The request's turn among the object's replicas. */
    int replicaTurn;
    /** Whether the first bytes of an answer are being sent to the client. */
    boolean streaming;
    /** Whether siblings may no longer fill the request. */
    boolean parentOnly;
    /** Whether the client has its final answer. */
    boolean finished;
    /** Whether some attempt reached a cache. */
    boolean reachedCache;

    private EndpointState firstRunEndpoint;
    private long firstRunSentAt;

    RequestState(RequestArrived arrival, RequestClass requestClass, double transferTime, long now) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.transferTime = transferTime;
        this.arrivedAt = now;
        this.objectHash = Hashing.hash(arrival.object());
        this.segmentHash = Hashing.mix(objectHash + arrival.segment());
    }

    long id() {
        return arrival.requestId();
    }

    boolean isSafe() {
        return requestClass.isSafe();
    }

    /** The effect of sending this request a second time. Without a key, nothing drops a repeat of a keyed class. */
    Idempotency idempotency() {
        boolean lacksKey =
                requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && arrival.idempotencyKey() == null;
        return lacksKey ? Idempotency.NON_IDEMPOTENT : requestClass.idempotency();
    }

    /** Whether the answer may be stored. */
    boolean isCacheable() {
        return !requestClass.uncacheable() && !arrival.write();
    }

    /** Maximum latency of a timely answer, in microseconds from the start of an attempt. */
    double latencyObjective() {
        double objective = requestClass.latencyObjective() + requestClass.transferAllowance() * transferTime;
        return Math.min(objective, requestClass.deadline());
    }

    /** The endpoint of the first attempt that may have run or may still run; null if there is no such attempt. */
    EndpointState firstRunEndpoint() {
        return firstRunEndpoint;
    }

    /** When the attempt at {@link #firstRunEndpoint} was sent. */
    long firstRunSentAt() {
        return firstRunSentAt;
    }

    void onAttemptSent(AttemptState attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
        if (firstRunEndpoint == null) {
            firstRunEndpoint = attempt.endpoint;
            firstRunSentAt = attempt.sentAt;
        }
    }

    void onAttemptEnded(AttemptState attempt, AttemptOutcome outcome) {
        attempt.ended = true;
        attemptsInFlight--;
        if (outcome.neverRan() && firstRunSentAt == attempt.sentAt && attemptsInFlight == 0) {
            firstRunEndpoint = null;
        }
        reachedCache |= outcome != AttemptOutcome.CONNECT_FAILED && outcome != AttemptOutcome.SUPERSEDED;
    }

    /** Whether the request certainly had no effect or may safely be repeated anywhere. */
    boolean isHarmlessToReject() {
        boolean repeatable = idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return isSafe() || firstRunEndpoint == null || repeatable;
    }
}
