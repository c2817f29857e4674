package pewtercourse.front;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/** The library's sockets, but for the first server that it opens, which is the clients': that one listens on a given channel. */
public final class FrontTransport implements Transport {
    private final ServerChannel listener;
    private boolean given;

    public FrontTransport(LimitedListener listener) {
        this.listener = listener;
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
            public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
                ChannelFactory<? extends ServerChannel> plain = super.serverChannelFactory(domainSocket);
                return () -> {
                    boolean first = !given;
                    given = true;
                    return first ? listener : plain.newChannel();
                };
            }
        };
    }
}
