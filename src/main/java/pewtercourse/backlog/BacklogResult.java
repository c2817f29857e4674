package pewtercourse.backlog;

import java.util.List;

/**
 * The result of one play.
 *
 * @param clientsLeft clients that left without an answer
 * @param unanswered requests whose connection ended
 * @param attempts requests that caches have read
 * @param retries attempts that were not the first of their request
 * @param excessiveTimeouts attempts whose {@code Timeout-Ms} exceeds what the client has left, and the slack
 * @param attemptsAfterLeave attempts that began too long after their client had left
 * @param processorSeconds processor time of the director since its start
 * @param peakMemoryMb the most memory that the director has used
 * @param violations what broke a rule
 */
public record BacklogResult(
        int served,
        int rejected,
        int failed,
        int clientsLeft,
        int unanswered,
        int attempts,
        int retries,
        int excessiveTimeouts,
        int attemptsAfterLeave,
        double processorSeconds,
        double peakMemoryMb,
        List<String> violations) {
    /** Whether no rule was broken. */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** Returns the figures in one line, and the first violations. */
    public String report() {
        String figures = String.format(
                "served %d, rejected %d, failed %d, left %d, unanswered %d; attempts %d (%d retries),"
                        + " timeouts over the client's %d, attempts after the leave %d; %.2f s processor, %.0f MB%n",
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
                peakMemoryMb);
        return figures
                + String.join(
                        "",
                        violations.stream().limit(10).map(v -> "  " + v + "\n").toList());
    }
}
