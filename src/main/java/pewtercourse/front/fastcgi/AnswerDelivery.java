package pewtercourse.front.fastcgi;

import java.util.function.LongSupplier;
import pewtercourse.Timers;
import pewtercourse.eventloop.SendQueue;
import pewtercourse.memory.HeldBytes;

/**
 * Watches whether one client reads its answers: those that wait in the {@link OutputQueue}, and those that the kernel has
 * and the client's machine has not acknowledged. The kernel reports a full socket as writable only once a large part of
 * its buffer is free, so a client may read for many seconds before anything can be written. Confined to the event loop;
 * times are microseconds.
 */
final class AnswerDelivery {
    /** How often a client with unwritten answers is looked at. */
    static final long CHECK_INTERVAL_MS = 5_000;
    /** How long before a check the kernel is asked. */
    private static final long KERNEL_WAIT_MS = 100;
    /** What the kernel told earlier doesn't show whether the client reads now. */
    private static final long MAX_KNOWLEDGE_AGE_MICROS = 1_000_000;
    /** A client that reads steadily is seen to do so within this many checks: its machine acknowledges in large steps. */
    private static final int MAX_SILENT_CHECKS = 6;
    /** The same where the kernel does not tell what was acknowledged, or where other clients need the memory. */
    private static final int MAX_SILENT_CHECKS_WITHOUT_SIGHT = 1;
    /** At the end of the process, or before a close. */
    private static final long MAX_SILENCE_BEFORE_CLOSE_MICROS = 10_000_000;

    private final OutputQueue output;
    private final SendQueue sendQueue;
    private final LongSupplier clock;
    private final Timers timers;
    private final HeldBytes held;
    private final Runnable onStalled;
    private long timer = -1;
    private long progressAt;
    private boolean progressSinceCheck;
    private int silentChecks;
    private long lastUndelivered;
    private long lastWriteAt;
    private boolean isAllDelivered = true;

    /**
     * Creates the watch of a new connection.
     *
     * @param sendQueue the bytes that the kernel has and the client has not
     * @param onStalled runs when the client has read nothing of its answers for too long
     */
    AnswerDelivery(
            OutputQueue output,
            SendQueue sendQueue,
            LongSupplier clock,
            Timers timers,
            HeldBytes held,
            Runnable onStalled) {
        this.output = output;
        this.sendQueue = sendQueue;
        this.clock = clock;
        this.timers = timers;
        this.held = held;
        this.onStalled = onStalled;
    }

    /** Called after each write: {@code progress} tells whether the kernel took any bytes. */
    void onWritten(boolean progress) {
        if (progress) {
            lastWriteAt = clock.getAsLong();
            recordProgress(lastWriteAt);
        }
        if (progress || !output.isEmpty()) {
            isAllDelivered = false;
        }
        if (progress || output.isEmpty()) {
            cancel();
        }
        if (timer < 0 && !output.isEmpty()) {
            progressSinceCheck = false;
            startTimer();
        }
    }

    /** Ends the watch. */
    void cancel() {
        timers.cancel(timer);
        timer = -1;
    }

    private void startTimer() {
        timer = timers.set(CHECK_INTERVAL_MS - KERNEL_WAIT_MS, this::checkOnceKernelIsAsked);
    }

    private void checkOnceKernelIsAsked() {
        sendQueue.refresh();
        timer = timers.set(KERNEL_WAIT_MS, this::check);
    }

    private void check() {
        timer = -1;
        if (!isKnown()) {
            checkOnceKernelIsAsked();
            return;
        }
        observe();
        silentChecks = progressSinceCheck ? 0 : silentChecks + 1;
        progressSinceCheck = false;
        boolean hasSight = sendQueue.unacknowledgedBytes().isPresent();
        boolean memoryIsScarce = held.responseBytes() > held.limits().responseBytes();
        if (silentChecks >= (hasSight && !memoryIsScarce ? MAX_SILENT_CHECKS : MAX_SILENT_CHECKS_WITHOUT_SIGHT)) {
            onStalled.run();
        } else {
            startTimer();
        }
    }

    /**
     * Whether the client may not have got all answers yet, and has read of them lately. As long as {@link #isKnown} is
     * false, a client that has got all of them may count too.
     */
    boolean isReading() {
        if (isAllDelivered) {
            return false;
        }
        sendQueue.refresh();
        if (isKnown()) {
            observe();
        }
        return !isAllDelivered && clock.getAsLong() - progressAt < MAX_SILENCE_BEFORE_CLOSE_MICROS;
    }

    /** Whether the kernel has told lately, and since the last write, what the client has. */
    boolean isKnown() {
        return isAllDelivered
                || sendQueue.isKnownSince(Math.max(lastWriteAt, clock.getAsLong() - MAX_KNOWLEDGE_AGE_MICROS));
    }

    private void observe() {
        long undelivered =
                output.unfinishedBytes() + sendQueue.unacknowledgedBytes().orElse(0);
        if (undelivered < lastUndelivered || undelivered == 0) {
            recordProgress(clock.getAsLong());
        }
        lastUndelivered = undelivered;
        isAllDelivered = undelivered == 0;
    }

    private void recordProgress(long now) {
        progressAt = now;
        progressSinceCheck = true;
        silentChecks = 0;
    }
}
