package pewtercourse.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Records the polls of an event loop in its {@link EventLoopTurns}. A poll waits for events for a limited time only: what it
 * waited is a time in which the loop can't tell when bytes have arrived.
 */
public final class TurnRecordingIoHandler implements IoHandler {
    /** The longest wait of a poll. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final IoHandler delegate;
    private final EventLoopTurns turns = new EventLoopTurns();

    private TurnRecordingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Wraps the handlers of the given factory. */
    public static IoHandlerFactory factory(IoHandlerFactory delegate) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new TurnRecordingIoHandler(delegate.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return delegate.isChangingThreadSupported();
            }
        };
    }

    private record BoundedContext(IoHandlerContext delegate, boolean mayWait) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return mayWait && delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return Math.min(MAX_WAIT_NANOS, delegate.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            delegate.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return delegate.shouldReportActiveIoTime();
        }
    }

    @Override
    public void initialize() {
        turns.bindToThread();
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        turns.beginPoll(System.nanoTime());
        try {
            return delegate.run(new BoundedContext(context, !turns.hasActionsAfterPoll()));
        } finally {
            turns.endPoll();
        }
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }
}
