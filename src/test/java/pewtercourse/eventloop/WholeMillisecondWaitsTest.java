package pewtercourse.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class WholeMillisecondWaitsTest {
    private static final int TIMERS = 200;
    private static final long DELAY_MICROS = 1_300; // Netty waits for one millisecond and polls for the rest.
    private static final int MAX_RUNS_PER_TIMER = 10; // Polling takes some hundred runs.

    /** Counts the runs of the event loop. */
    private record CountingHandler(IoHandler handler, AtomicLong runs) implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            runs.incrementAndGet();
            return handler.run(context);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }

    @Test
    void eventLoopSleepsUntilItsTimersAreDue() throws Exception {
        AtomicLong runs = new AtomicLong();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1,
                executor -> new CountingHandler(
                        WholeMillisecondWaits.factory(NioIoHandler.newFactory()).newHandler(executor), runs));
        CountDownLatch fired = new CountDownLatch(TIMERS);
        scheduleNext(group.next(), fired);
        assertTrue(fired.await(60, TimeUnit.SECONDS));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        assertTrue(runs.get() <= TIMERS * MAX_RUNS_PER_TIMER, runs + " runs for " + TIMERS + " timers");
    }

    private static void scheduleNext(EventLoop loop, CountDownLatch fired) {
        loop.schedule(
                () -> {
                    fired.countDown();
                    if (fired.getCount() > 0) {
                        scheduleNext(loop, fired);
                    }
                },
                DELAY_MICROS,
                TimeUnit.MICROSECONDS);
    }

    @Test
    void delaysOfDueAndNeverDueTimersStayUnchanged() {
        assertEquals(-5, WholeMillisecondWaits.roundedUp(-5));
        assertEquals(0, WholeMillisecondWaits.roundedUp(0));
        assertEquals(1_000_000, WholeMillisecondWaits.roundedUp(1));
        assertEquals(1_000_000, WholeMillisecondWaits.roundedUp(1_000_000));
        assertEquals(2_000_000, WholeMillisecondWaits.roundedUp(1_000_001));
        assertEquals(Long.MAX_VALUE, WholeMillisecondWaits.roundedUp(Long.MAX_VALUE));
    }
}
