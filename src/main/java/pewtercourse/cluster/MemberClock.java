package pewtercourse.cluster;

/** Counts microseconds since its creation on the monotonic clock. Values are comparable only within one process. */
final class MemberClock {
    private final long startNanos = System.nanoTime();

    long now() {
        return (System.nanoTime() - startNanos) / 1_000;
    }
}
