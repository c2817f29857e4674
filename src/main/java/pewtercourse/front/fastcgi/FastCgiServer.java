package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.front.RequestHandler;

/** Listens for the front's connections, on one address only. */
public final class FastCgiServer {
    private final NetServer server;

    public FastCgiServer(Vertx vertx, RequestHandler handler, LongSupplier clock) {
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(512)
                .setReuseAddress(true));
        FastCgiConnection.Backlog backlog = new FastCgiConnection.Backlog();
        server.connectHandler(socket -> new FastCgiConnection(socket, handler, clock, backlog));
        server.exceptionHandler(e -> Log.warn("front.accept_error", "error", e));
    }

    public Future<NetServer> listen(SocketAddress at) {
        return server.listen(at);
    }
}
