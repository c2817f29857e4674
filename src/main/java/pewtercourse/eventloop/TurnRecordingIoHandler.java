package pewtercourse.eventloop;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import java.util.concurrent.TimeUnit;

/**
 * Records the polls of an event loop in its {@link EventLoopTurns}. A poll waits for events for a limited time only: what it
 * waited is a time in which the loop can't tell when bytes have arrived.
 */
public final class TurnRecordingIoHandler extends DelegatingIoHandler {
    /** The longest wait of a poll. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final EventLoopTurns turns = new EventLoopTurns();

    private TurnRecordingIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Wraps the handlers of the given factory. */
    public static IoHandlerFactory factory(IoHandlerFactory delegate) {
        return wrappingFactory(delegate, TurnRecordingIoHandler::new);
    }

    private static final class BoundedContext extends Context {
        private final boolean mayWait;

        BoundedContext(IoHandlerContext delegate, boolean mayWait) {
            super(delegate);
            this.mayWait = mayWait;
        }

        @Override
        public boolean canBlock() {
            return mayWait && super.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return Math.min(MAX_WAIT_NANOS, super.delayNanos(currentTimeNanos));
        }
    }

    @Override
    public void initialize() {
        turns.bindToThread();
        super.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        turns.beginPoll(System.nanoTime());
        try {
            return super.run(new BoundedContext(context, !turns.hasActionsAfterPoll()));
        } finally {
            turns.endPoll();
        }
    }
}
