package pewtercourse.cluster;

/** Microseconds since this member was made, on the monotonic clock: never set back, and comparable only within one process. */
final class MemberClock {
    private final long startNanos = System.nanoTime();

    long now() {
        return (System.nanoTime() - startNanos) / 1_000;
    }
}
