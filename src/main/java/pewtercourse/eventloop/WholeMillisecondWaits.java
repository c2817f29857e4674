package pewtercourse.eventloop;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * Makes the event loop wait in whole milliseconds, rounded up. The selector of Netty takes milliseconds and rounds to the
 * nearest: when the next timer is due in less than half a millisecond, it does not wait at all, and the event loop polls the
 * selector until the timer is due. With rounding up, a timer may fire up to a millisecond late instead.
 */
public final class WholeMillisecondWaits extends DelegatingIoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private WholeMillisecondWaits(IoHandler delegate) {
        super(delegate);
    }

    /** Wraps the handlers of the given factory. */
    public static IoHandlerFactory factory(IoHandlerFactory delegate) {
        return wrappingFactory(delegate, WholeMillisecondWaits::new);
    }

    /** Rounds a delay up to a whole millisecond; the delays of timers that are due or never fire stay as they are. */
    static long roundedUp(long delayNanos) {
        boolean dueOrNever = delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI;
        return dueOrNever ? delayNanos : (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    private static final class RoundedContext extends Context {
        RoundedContext(IoHandlerContext delegate) {
            super(delegate);
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundedUp(super.delayNanos(currentTimeNanos));
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        return super.run(new RoundedContext(context));
    }
}
