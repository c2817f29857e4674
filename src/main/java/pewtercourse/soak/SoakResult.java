package pewtercourse.soak;

import java.util.List;
import java.util.Map;

/**
 * What came of one run.
 *
 * @param startedAt when the load began, in microseconds of the oracle's clock
 * @param events what happened in the run, in order, each with its time
 */
public record SoakResult(
        FaultPlan plan,
        List<SoakOracle.Violation> violations,
        Map<String, Integer> counts,
        long startedAt,
        List<String> events) {
    private static final int EVENTS_AROUND = 6;
    private static final int MAX_REPORTED = 8;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Whether all terms were kept. */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** Returns one line, and for each of the first violations its term and the events before it. */
    public String report() {
        StringBuilder text = new StringBuilder("seed " + plan.seed() + ": " + (passed() ? "passed" : "FAILED") + ", "
                + plan.directors() + " directors, " + plan.caches() + " caches, " + counts + '\n');
        violations.stream().limit(MAX_REPORTED).forEach(violation -> appendViolation(text, violation));
        return text.toString();
    }

    private void appendViolation(StringBuilder text, SoakOracle.Violation violation) {
        long atMs = (violation.at() - startedAt) / MICROS_PER_MILLI;
        text.append("  ").append(violation.term()).append(" at ").append(atMs).append(" ms: ");
        text.append(violation.what()).append('\n');
        List<String> before = events.stream()
                .filter(event -> Long.parseLong(event.substring(0, event.indexOf(' '))) <= atMs)
                .toList();
        before.subList(Math.max(0, before.size() - EVENTS_AROUND), before.size())
                .forEach(event -> text.append("      ").append(event).append('\n'));
    }
}
