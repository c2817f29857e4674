package pewtercourse.memory;

/**
 * How many bytes a director may hold for its clients and caches.
 *
 * @param requestBytes bytes of requests from which on requests are rejected
 * @param responseBytes maximum bytes of responses and answers; a response that would exceed it is not read on
 */
public record MemoryLimits(long requestBytes, long responseBytes) {
    private static final long MEBIBYTE = 1 << 20;
    /** Heap of the program itself: classes, tables, and what the collector needs to work. */
    private static final long PROGRAM_HEAP_BYTES = 20 * MEBIBYTE;
    /** The program's share of a heap that is hardly larger than {@link #PROGRAM_HEAP_BYTES}. */
    private static final double MAX_PROGRAM_SHARE = 0.75;

    private static final double REQUEST_SHARE = 0.15;
    private static final double RESPONSE_SHARE = 0.4;
    /** The part of the memory limit that the start script gives to the heap. */
    private static final double HEAP_SHARE = 0.4;

    /** A response of the largest size, with its last block. */
    private static final long LARGEST_RESPONSE_BYTES = 256 * 1024;

    /** Limits for a process that may use this much memory, of which the JVM may use this much as its heap. */
    public static MemoryLimits of(long memoryBytes, long maxHeapBytes) {
        long heap = Math.min((long) (HEAP_SHARE * memoryBytes), maxHeapBytes);
        long available = heap - (long) Math.min(PROGRAM_HEAP_BYTES, MAX_PROGRAM_SHARE * heap);
        return new MemoryLimits((long) (REQUEST_SHARE * available), Math.max(LARGEST_RESPONSE_BYTES, (long)
                (RESPONSE_SHARE * available)));
    }
}
