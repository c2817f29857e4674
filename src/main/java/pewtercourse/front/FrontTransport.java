package pewtercourse.front;

import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import pewtercourse.eventloop.TurnRecordingIoHandler;
import pewtercourse.eventloop.WholeMillisecondWaits;

/**
 * The NIO transport of Vert.x with four changes: the event loop waits in whole milliseconds
 * ({@link WholeMillisecondWaits}) and records its turns ({@link TurnRecordingIoHandler}), servers go on accepting soon after
 * a failed accept ({@link RetryingListener}), and the clients' server listens on the given channel. The clients' server is
 * the first server that is opened after {@link #useListenerForNextServer}; other servers, such as the cluster's, may be
 * opened before and after.
 */
public final class FrontTransport implements Transport {
    private final ServerChannel listener;
    private volatile boolean isFrontNext;

    public FrontTransport(LimitedListener listener) {
        this.listener = listener;
    }

    /** Gives the listener of the clients to the next server that is opened. */
    public void useListenerForNextServer() {
        isFrontNext = true;
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return new NioTransport() {
            @Override
            public IoHandlerFactory ioHandlerFactory() {
                return TurnRecordingIoHandler.factory(WholeMillisecondWaits.factory(super.ioHandlerFactory()));
            }

            @Override
            public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
                ChannelFactory<? extends ServerChannel> defaultFactory =
                        domainSocket ? super.serverChannelFactory(true) : RetryingListener::new;
                return () -> {
                    boolean isFront = isFrontNext;
                    isFrontNext = false;
                    return isFront ? listener : defaultFactory.newChannel();
                };
            }
        };
    }
}
