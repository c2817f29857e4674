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
 * The listening socket for clients, which the platform opens and this process inherits as descriptor 0, so that
 * several processes can accept from it. The server for clients uses it through {@link #transport}; all other servers
 * open sockets of their own. The socket stays open until the process ends: closing it would make the JDK close the
 * standard output as well.
 */
public final class InheritedSocket {
    private static final String DESCRIPTOR_VARIABLE = "GW_SOCKET_FD";
    // System.inheritedChannel supports descriptor 0 only.
    private static final String INHERITED_DESCRIPTOR = "0";

    private final PausableListener listener;

    private InheritedSocket(ServerSocketChannel channel, int maxConnections) {
        listener = new PausableListener(channel, maxConnections);
    }

    /**
     * Returns the socket named by {@code GW_SOCKET_FD} in the environment; empty if the variable is missing or empty.
     *
     * @param maxConnections maximum number of open connections, see {@link LimitedListener}
     * @throws ConfigException if the variable names another descriptor, or descriptor 0 is not a listening socket
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
            throw new ConfigException(DESCRIPTOR_VARIABLE, "descriptor 0 is not a listening socket");
        } catch (IOException e) {
            throw new ConfigException(DESCRIPTOR_VARIABLE, "descriptor 0 can't be used: " + e.getMessage());
        }
    }

    /** Returns a transport whose server for clients listens on this socket. */
    public FrontTransport transport() {
        return new FrontTransport(listener);
    }

    /** Starts accepting connections, or leaves them to other processes; completes once the change is in effect. */
    public Future<Void> accept(boolean accepting) {
        Promise<Void> changed = Promise.promise();
        listener.eventLoop().execute(() -> {
            listener.setAccepting(accepting);
            changed.complete();
        });
        return changed.future();
    }

    /** A listener that accepts connections only while accepting is switched on. */
    private static final class PausableListener extends LimitedListener {
        private volatile boolean accepting;
        private boolean bound;

        PausableListener(ServerSocketChannel channel, int maxConnections) {
            super(channel, maxConnections);
        }

        void setAccepting(boolean newAccepting) {
            accepting = newAccepting;
            config().setAutoRead(newAccepting);
            if (newAccepting) {
                read();
            }
        }

        // The platform has already bound the socket.
        @Override
        protected void doBind(SocketAddress address) {
            bound = true;
        }

        // Netty adds its handler only once the channel is bound, and would drop connections accepted before that.
        @Override
        public boolean isActive() {
            return bound && super.isActive();
        }

        // After a failed accept the listener resumes by itself, so this checks the switch.
        @Override
        protected void doBeginRead() throws Exception {
            if (accepting) {
                super.doBeginRead();
            }
        }

        @Override
        protected int doReadMessages(List<Object> acceptedChannels) throws Exception {
            return accepting ? super.doReadMessages(acceptedChannels) : 0;
        }
    }
}
