package pewtercourse.front;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Waits of the event loop in whole milliseconds, rounded up. The library's selector takes milliseconds and rounds to the
 * nearest: with less than half a millisecond to go until the next timer it does not wait at all, and the event loop polls the
 * selector until the timer is due. A timer may come up to a millisecond later instead.
 */
final class WholeMillisecondWaits implements IoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IoHandler library;

    private WholeMillisecondWaits(IoHandler library) {
        this.library = library;
    }

    /** The library's handlers, with these waits. */
    static IoHandlerFactory factory(IoHandlerFactory library) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(io.netty.util.concurrent.ThreadAwareExecutor executor) {
                return new WholeMillisecondWaits(library.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return library.isChangingThreadSupported();
            }
        };
    }

    /** {@code nanos} to the next whole millisecond; what is due already, or never, as it is. */
    static long roundedUp(long nanos) {
        boolean dueOrNever = nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MILLI;
        return dueOrNever ? nanos : (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    private record RoundedContext(IoHandlerContext loop) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundedUp(loop.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loop.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        return library.run(new RoundedContext(context));
    }

    @Override
    public void initialize() {
        library.initialize();
    }

    @Override
    public void prepareToDestroy() {
        library.prepareToDestroy();
    }

    @Override
    public void destroy() {
        library.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return library.register(handle);
    }

    @Override
    public void wakeup() {
        library.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return library.isCompatible(handleType);
    }
}
