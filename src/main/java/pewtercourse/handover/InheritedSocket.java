package pewtercourse.handover;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pewtercourse.config.ConfigException;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;

/**
 * The clients' listening socket, held by the platform and inherited as descriptor 0, so that several processes accept from
 * it. The clients' server gets it through {@link #transport}; all other servers open sockets of their own. It is never
 * closed before the process ends: the JDK would then close the standard output as well.
 */
public final class InheritedSocket {
    private static final String DESCRIPTOR_VARIABLE = "GW_SOCKET_FD";
    // The only one that System.inheritedChannel gives.
    private static final String INHERITED_DESCRIPTOR = "0";

    private final PausableListener listener;

    private InheritedSocket(ServerSocketChannel channel, int maxConnections) {
        listener = new PausableListener(channel, maxConnections);
    }

    /**
     * The socket that the environment names; empty if it names none.
     *
     * @param maxConnections how many connections may be accepted at once, see {@link LimitedListener}
     * @throws ConfigException if the environment names another descriptor, or it is no listening socket
     */
    public static Optional<InheritedSocket> fromEnvironment(Map<String, String> environment, int maxConnections) {
        String descriptor = environment.getOrDefault(DESCRIPTOR_VARIABLE, "");
        if (descriptor.isEmpty()) {
            return Optional.empty();
        }
        if (!descriptor.equals(INHERITED_DESCRIPTOR)) {
            throw new ConfigException(DESCRIPTOR_VARIABLE, "'" + descriptor + "': only descriptor 0 can be inherited");
        }
        return Optional.of(new InheritedSocket(inheritedChannel(), maxConnections));
    }

    private static ServerSocketChannel inheritedChannel() {
        try {
            Channel channel = System.inheritedChannel();
            if (channel instanceof ServerSocketChannel server && server.getLocalAddress() != null) {
                return server;
            }
            throw new ConfigException(DESCRIPTOR_VARIABLE, "descriptor 0 is no listening socket");
        } catch (IOException e) {
            throw new ConfigException(DESCRIPTOR_VARIABLE, "descriptor 0 can't be used: " + e.getMessage());
        }
    }

    /** A transport whose clients' server listens on this socket. */
    public FrontTransport transport() {
        return new FrontTransport(listener);
    }

    /** Accepts connections from now on, or leaves them to other processes; completes once that holds. */
    public Future<Void> accept(boolean accepting) {
        Promise<Void> done = Promise.promise();
        listener.eventLoop().execute(() -> {
            listener.setAccepting(accepting);
            done.complete();
        });
        return done.future();
    }

    /** A listener that accepts only while it is told to. */
    private static final class PausableListener extends LimitedListener {
        private volatile boolean accepting;
        private boolean bound;

        PausableListener(ServerSocketChannel channel, int maxConnections) {
            super(channel, maxConnections);
        }

        void setAccepting(boolean on) {
            accepting = on;
            config().setAutoRead(on);
            if (on) {
                read();
            }
        }

        // The socket was bound by the process that holds it.
        @Override
        protected void doBind(SocketAddress address) {
            bound = true;
        }

        // Netty adds its handler only once the channel is bound: what was accepted before would be dropped.
        @Override
        public boolean isActive() {
            return bound && super.isActive();
        }

        // After an error Netty resumes accepting by itself a second later.
        @Override
        protected void doBeginRead() throws Exception {
            if (accepting) {
                super.doBeginRead();
            }
        }

        @Override
        protected int doReadMessages(List<Object> into) throws Exception {
            return accepting ? super.doReadMessages(into) : 0;
        }
    }
}
