package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until its last attempt has ended. */
final class RequestState {
    final RequestArrived arrival;
    /** As it was when the request came. */
    final RequestClass requestClass;

    final long objectHash;
    final long segmentHash;
    /** Microseconds that its answer takes to send, as far as is known. */
    final double transferTime;

    final long arrivedAt;
    final List<AttemptState> attempts = new ArrayList<>(2);
    /** Endpoints at which an attempt failed, once for each. */
    final List<EndpointState> failedEndpoints = new ArrayList<>(2);

    final List<EndpointState> failedSources = new ArrayList<>(2);
    /** Caches that answered with an error. */
    final List<EndpointState> accusedCaches = new ArrayList<>(2);
    /** The parents from which these were to fill. */
    final List<EndpointState> accusedSources = new ArrayList<>(2);

    /** Attempts in flight. */
    int liveAttempts;
    /** By which its object's replicas take turns. */
    int turn;
    /** The first bytes of an answer are on their way to the client. */
    boolean streaming;
    /** No sibling may fill it any more. */
    boolean parentOnly;
    /** Its client has its final answer. */
    boolean finished;
    /** Some attempt came to a cache. */
    boolean reachedCache;

    private EndpointState firstRunAt;
    private long firstRunTime;

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

    /** Whether its answer may be stored. */
    boolean isCacheable() {
        return !requestClass.uncacheable() && !arrival.write();
    }

    /** Within which its answer is in time, in microseconds from an attempt's start. */
    double latencyObjective() {
        double objective = requestClass.latencyObjective() + requestClass.transferAllowance() * transferTime;
        return Math.min(objective, requestClass.deadline());
    }

    /** The endpoint of the first attempt that may have run or may yet run; null if none may. */
    EndpointState firstRunAt() {
        return firstRunAt;
    }

    /** When that attempt was sent. */
    long firstRunTime() {
        return firstRunTime;
    }

    void onAttemptSent(AttemptState attempt) {
        attempts.add(attempt);
        liveAttempts++;
        if (firstRunAt == null) {
            firstRunAt = attempt.endpoint;
            firstRunTime = attempt.sentAt;
        }
    }

    void onAttemptEnded(AttemptState attempt, AttemptOutcome outcome) {
        attempt.ended = true;
        liveAttempts--;
        if (outcome.neverRan() && firstRunTime == attempt.sentAt && liveAttempts == 0) {
            firstRunAt = null;
        }
        reachedCache |= outcome != AttemptOutcome.CONNECT_FAILED && outcome != AttemptOutcome.SUPERSEDED;
    }

    /** Whether it certainly had no effect, or may be repeated anywhere. */
    boolean isHarmlessToReject() {
        boolean repeatable = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return isSafe() || firstRunAt == null || repeatable;
    }
}
