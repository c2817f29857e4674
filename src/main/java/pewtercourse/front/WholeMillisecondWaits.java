package pewtercourse.front;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Makes the event loop wait in whole milliseconds, rounded up. The selector of Netty takes milliseconds and rounds to the
 * nearest: when the next timer is due in less than half a millisecond, it does not wait at all, and the event loop polls the
 * selector until the timer is due. With rounding up, a timer may fire up to a millisecond late instead.
 */
final class WholeMillisecondWaits implements IoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IoHandler delegate;

    private WholeMillisecondWaits(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Wraps the handlers of the given factory. */
    static IoHandlerFactory factory(IoHandlerFactory delegate) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(io.netty.util.concurrent.ThreadAwareExecutor executor) {
                return new WholeMillisecondWaits(delegate.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return delegate.isChangingThreadSupported();
            }
        };
    }

    /** Rounds a delay up to a whole millisecond; the delays of timers that are due or never fire stay as they are. */
    static long roundedUp(long delayNanos) {
        boolean dueOrNever = delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI;
        return dueOrNever ? delayNanos : (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    private record RoundedContext(IoHandlerContext delegate) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundedUp(delegate.delayNanos(currentTimeNanos));
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
    public int run(IoHandlerContext context) {
        return delegate.run(new RoundedContext(context));
    }

    @Override
    public void initialize() {
        delegate.initialize();
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
