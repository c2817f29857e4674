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

    private PossibleRun firstRun;

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

    /** Whether caches drop a repeat of this request by its key. */
    boolean hasUsableKey() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && arrival.idempotencyKey() != null;
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

    /** The first attempt of this request that may have run or may still run; null if there is no such attempt. */
    PossibleRun firstRun() {
        return firstRun;
    }

    void onAttemptSent(AttemptState attempt) {
        attempt.possibleRun = new PossibleRun(
                id(),
                attempts.size(),
                attempt.endpoint.endpoint().zone(),
                attempt.endpoint.endpoint().cell(),
                attempt.sentAt);
        attempts.add(attempt);
        attemptsInFlight++;
        if (firstRun == null) {
            firstRun = attempt.possibleRun;
        }
    }

    void onAttemptEnded(AttemptState attempt, AttemptOutcome outcome) {
        attempt.ended = true;
        attemptsInFlight--;
        if (outcome.neverRan() && attempt.possibleRun.equals(firstRun) && attemptsInFlight == 0) {
            firstRun = null;
        }
        reachedCache |= outcome != AttemptOutcome.CONNECT_FAILED && outcome != AttemptOutcome.SUPERSEDED;
    }
}
