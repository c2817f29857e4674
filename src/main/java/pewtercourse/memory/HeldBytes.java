package pewtercourse.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the bytes that a director holds for its clients and caches. Each stage is counted by the part that owns the bytes,
 * from their allocation to the time at which it drops the last reference to them. Confined to the event loop.
 */
public final class HeldBytes {
    private final MemoryLimits limits;
    private final Map<MemoryStage, Long> held = new EnumMap<>(MemoryStage.class);
    private final Map<MemoryStage, Long> peaks = new EnumMap<>(MemoryStage.class);
    private final Map<MemoryStage, Long> rejections = new EnumMap<>(MemoryStage.class);
    private Runnable onReleased = () -> {};

    /** Creates a count of 0. */
    public HeldBytes(MemoryLimits limits) {
        this.limits = limits;
        for (MemoryStage stage : MemoryStage.values()) {
            held.put(stage, 0L);
            peaks.put(stage, 0L);
            rejections.put(stage, 0L);
        }
    }

    /** The limits that the count is compared with. */
    public MemoryLimits limits() {
        return limits;
    }

    /** Adds bytes that are held from now on. */
    public void add(MemoryStage stage, long bytes) {
        long sum = held.merge(stage, bytes, Long::sum);
        peaks.merge(stage, sum, Math::max);
    }

    /** Subtracts bytes that are held no longer. */
    public void release(MemoryStage stage, long bytes) {
        held.merge(stage, -bytes, Long::sum);
        onReleased.run();
    }

    /** Counts a request that is rejected because this stage has reached its limit. */
    public void recordRejection(MemoryStage stage) {
        rejections.merge(stage, 1L, Long::sum);
    }

    /** Sets what runs after each release. */
    void onReleased(Runnable listener) {
        onReleased = listener;
    }

    /** Bytes that are held at this stage. */
    public long bytes(MemoryStage stage) {
        return held.get(stage);
    }

    /** The most bytes that were held at this stage so far. */
    public long peakBytes(MemoryStage stage) {
        return peaks.get(stage);
    }

    /** Number of requests that were rejected because this stage had reached its limit. */
    public long rejections(MemoryStage stage) {
        return rejections.get(stage);
    }

    /** Bytes of responses and answers. */
    public long responseBytes() {
        return bytes(MemoryStage.RECEIVING) + bytes(MemoryStage.ANSWERS);
    }

    /** Whether the requests have reached their limit. */
    public boolean requestsExceedLimit() {
        return bytes(MemoryStage.REQUESTS) > limits.requestBytes();
    }
}
