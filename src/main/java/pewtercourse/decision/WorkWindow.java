package pewtercourse.decision;

import java.util.ArrayDeque;

/** The work sent to an endpoint in slow start within a sliding window. */
final class WorkWindow {
    private record Sent(long sentAt, double transferTime) {}

    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double sum;

    void add(long now, double transferTime) {
        sent.addLast(new Sent(now, transferTime));
        sum += transferTime;
    }

    /** Drops the work that was sent at {@code time} or before. */
    void dropUntil(long time) {
        while (!sent.isEmpty() && sent.peekFirst().sentAt() <= time) {
            sum -= sent.pollFirst().transferTime();
        }
    }

    boolean isEmpty() {
        return sent.isEmpty();
    }

    /** The work that was sent after {@code time}; drops nothing. */
    double sumAfter(long time) {
        return sent.stream()
                .filter(work -> work.sentAt() > time)
                .mapToDouble(Sent::transferTime)
                .sum();
    }

    double sum() {
        return sum;
    }
}
