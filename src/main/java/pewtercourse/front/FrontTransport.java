package pewtercourse.front;

import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/**
 * The library's sockets, but for the event loop's waits ({@link WholeMillisecondWaits}) and for the clients' server, which
 * listens on a given channel: the first one that is opened after {@link #frontNext}. Others, such as a cluster's, may be
 * opened before and after.
 */
public final class FrontTransport implements Transport {
    private final ServerChannel listener;
    private volatile boolean frontNext;

    public FrontTransport(LimitedListener listener) {
        this.listener = listener;
    }

    /** The next server that is opened is the clients'. */
    public void frontNext() {
        frontNext = true;
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
                return WholeMillisecondWaits.factory(super.ioHandlerFactory());
            }

            @Override
            public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
                ChannelFactory<? extends ServerChannel> plain = super.serverChannelFactory(domainSocket);
                return () -> {
                    boolean front = frontNext;
                    frontNext = false;
                    return front ? listener : plain.newChannel();
                };
            }
        };
    }
}
