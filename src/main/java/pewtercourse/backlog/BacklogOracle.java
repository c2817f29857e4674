package pewtercourse.backlog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges what clients and caches have recorded. Times are microseconds of one monotonic clock. Safe for the threads of the
 * clients and of the caches.
 */
final class BacklogOracle {
    /** An attempt that begins later than this after its client has left breaks the rule. */
    static final long LEAVE_GRACE = 100_000;
    /** A cache may be told this much more than the time that the client has left. */
    static final long DEADLINE_SLACK = 150_000;
    /** An answer is late from this time after the deadline. */
    static final long ANSWER_GRACE = 500_000;

    private static final class Request {
        final long sentAt;
        final long deadline;
        long leftAt = Long.MAX_VALUE;
        int attempts;

        Request(long sentAt, long deadline) {
            this.sentAt = sentAt;
            this.deadline = deadline;
        }
    }

    private final Map<String, Request> requests = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int served;
    private int rejected;
    private int failed;
    private int clientsLeft;
    private int attempts;
    private int retries;
    private int attemptsAfterLeave;
    private int excessiveTimeouts;
    private int unanswered;

    synchronized void requestSent(String id, long at, long deadlineMicros) {
        requests.put(id, new Request(at, at + deadlineMicros));
    }

    /** The client got an answer before it left. */
    synchronized void answered(String id, long at, String status) {
        switch (status) {
            case "200" -> served++;
            case "503", "429" -> rejected++;
            default -> failed++;
        }
        requests.get(id).leftAt = at;
    }

    /** The client has left without an answer. */
    synchronized void clientLeft(String id, long at) {
        clientsLeft++;
        requests.get(id).leftAt = at;
    }

    /** The connection ended before the answer, or nothing came long after the deadline. */
    synchronized void unanswered(String id, long at, String reason) {
        unanswered++;
        Request request = requests.get(id);
        request.leftAt = at;
        violations.add("request " + id + " has no answer after " + (at - request.sentAt) / 1_000 + " ms: " + reason);
    }

    /**
     * A cache has read the head of an attempt.
     *
     * @param observerDelay by how much the reader of the cache may have been late
     */
    synchronized void attemptArrived(String id, long at, long timeoutMicros, long observerDelay) {
        attempts++;
        Request request = requests.get(id);
        if (request == null) {
            violations.add("attempt of an unknown request " + id);
            return;
        }
        retries += request.attempts++ > 0 ? 1 : 0;
        long begunAt = at - observerDelay;
        if (request.leftAt < begunAt - LEAVE_GRACE) {
            attemptsAfterLeave++;
            violations.add("attempt of " + id + " " + (begunAt - request.leftAt) / 1_000 + " ms after its client left, "
                    + (begunAt - request.sentAt) / 1_000 + " ms after it was sent");
        }
        long clientHasLeft = request.deadline - begunAt;
        if (timeoutMicros > clientHasLeft + DEADLINE_SLACK) {
            excessiveTimeouts++;
            violations.add("attempt of " + id + " with " + timeoutMicros / 1_000 + " ms, its client has "
                    + clientHasLeft / 1_000);
        }
    }

    /** What was recorded until now. */
    synchronized BacklogResult result(double processorSeconds, double peakMemoryMb) {
        return new BacklogResult(
                served,
                rejected,
                failed,
                clientsLeft,
                unanswered,
                attempts,
                retries,
                excessiveTimeouts,
                attemptsAfterLeave,
                processorSeconds,
                peakMemoryMb,
                List.copyOf(violations));
    }
}
