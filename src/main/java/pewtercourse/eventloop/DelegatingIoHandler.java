package pewtercourse.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.function.UnaryOperator;

/** Passes all calls to another handler of an event loop; a subclass changes some of them. */
abstract class DelegatingIoHandler implements IoHandler {
    private final IoHandler delegate;

    DelegatingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** A factory whose handlers are those of another factory, wrapped. */
    static IoHandlerFactory wrappingFactory(IoHandlerFactory factory, UnaryOperator<IoHandler> wrapper) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return wrapper.apply(factory.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return factory.isChangingThreadSupported();
            }
        };
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(context);
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

    /** Passes all calls to another context; a subclass changes some of them. */
    abstract static class Context implements IoHandlerContext {
        private final IoHandlerContext delegate;

        Context(IoHandlerContext delegate) {
            this.delegate = delegate;
        }

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return delegate.delayNanos(currentTimeNanos);
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
}
