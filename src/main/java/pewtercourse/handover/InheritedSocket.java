package pewtercourse.handover;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import pewtercourse.config.ConfigException;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;

/**
 * The clients' listening socket, held by the platform and inherited as descriptor 0: several processes accept from it.
 * The clients' server gets it ({@link FrontTransport}); the others open sockets as ever. It is never
 * closed before the end: the JDK would then take away the standard output as well.
 */
public final class InheritedSocket {
    private final Listener listener;

    private InheritedSocket(ServerSocketChannel socket, int connectionsMost) {
        listener = new Listener(socket, connectionsMost);
    }

    /** Null where the environment names no descriptor. {@code connectionsMost}: see {@link LimitedListener}. */
    public static InheritedSocket from(Map<String, String> env, int connectionsMost) {
        String named = env.getOrDefault("GW_SOCKET_FD", "");
        if (named.isEmpty()) {
            return null;
        }
        if (!named.equals("0")) {
            throw new ConfigException("GW_SOCKET_FD", "'" + named + "': only descriptor 0 can be inherited");
        }
        try {
            Channel c = System.inheritedChannel();
            if (c instanceof ServerSocketChannel s && s.getLocalAddress() != null) {
                return new InheritedSocket(s, connectionsMost);
            }
            throw new ConfigException("GW_SOCKET_FD", "descriptor 0 is no listening socket");
        } catch (IOException e) {
            throw new ConfigException("GW_SOCKET_FD", "descriptor 0 can't be used: " + e.getMessage());
        }
    }

    /** The library's sockets, with this one for the clients' server. */
    public FrontTransport transport() {
        return new FrontTransport(listener);
    }

    /** Accepts from now on, or leaves what comes to other processes; done once that holds. */
    public Future<Void> accept(boolean on) {
        Promise<Void> done = Promise.promise();
        listener.eventLoop().execute(() -> {
            listener.accepting = on;
            listener.config().setAutoRead(on);
            if (on) {
                listener.read();
            }
            done.complete();
        });
        return done.future();
    }

    private static final class Listener extends LimitedListener {
        private volatile boolean accepting;
        private boolean bound;

        Listener(ServerSocketChannel socket, int most) {
            super(socket, most);
        }

        @Override
        protected void doBind(SocketAddress at) {
            bound = true; // It was bound by whoever holds it.
        }

        // The library's handler is only there once it has bound: what was accepted before would be dropped.
        @Override
        public boolean isActive() {
            return bound && super.isActive();
        }

        // After an error the library goes on accepting by itself a second later.
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
