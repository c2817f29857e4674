package pewtercourse.admin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import pewtercourse.Log;
import pewtercourse.Timers;

/** Serves the operators' calls over HTTP/1.1, one call per connection. */
public final class AdminServer {
    private static final int MAX_HEAD_BYTES = 4_096;
    private static final int MAX_REQUEST_LINE_BYTES = 1_024;
    private static final int MAX_BODY_BYTES = 4_096;

    private final HttpServer server;
    private final AdminApi api;
    private final CallTable<HttpConnection> table;

    /** Creates a server for the operations of a director. */
    public AdminServer(Vertx vertx, Operations director) {
        api = new AdminApi(director);
        table = new CallTable<>(Timers.of(vertx), HttpConnection::close);
        server = vertx.createHttpServer(new HttpServerOptions()
                .setReuseAddress(true)
                .setAcceptBacklog(64)
                .setTcpNoDelay(true)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false));
        server.connectionHandler(connection -> {
            table.onOpened(connection);
            connection.closeHandler(v -> table.onClosed(connection));
        });
        server.requestHandler(this::read);
        server.exceptionHandler(e -> Log.counted("admin.caller_error", "error", e));
        server.invalidRequestHandler(request -> reply(request, AdminReply.of(400, "unreadable")));
    }

    /** Starts listening. */
    public Future<HttpServer> listen(SocketAddress address) {
        return server.listen(address);
    }

    private void read(HttpServerRequest request) {
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() <= MAX_BODY_BYTES) {
                body.appendBuffer(chunk);
                if (body.length() > MAX_BODY_BYTES) {
                    reply(request, AdminReply.of(413, "a body has at most " + MAX_BODY_BYTES + " bytes"));
                }
            }
        });
        request.exceptionHandler(e -> request.connection().close());
        request.endHandler(v -> {
            if (body.length() <= MAX_BODY_BYTES) {
                handle(new AdminCall(request.method().name(), request.path(), body.toString()))
                        .onSuccess(reply -> reply(request, reply))
                        .onFailure(e -> reply(request, unexpected(e)));
            }
        });
    }

    private Future<AdminReply> handle(AdminCall call) {
        try {
            return api.handle(call);
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private static AdminReply unexpected(Throwable e) {
        Log.error("admin.unexpected", e);
        return AdminReply.of(500, "failed: see the log");
    }

    private static void reply(HttpServerRequest request, AdminReply reply) {
        if (request.response().ended()) {
            return;
        }
        if (reply.allow() != null) {
            request.response().putHeader("Allow", reply.allow());
        }
        request.response()
                .setStatusCode(reply.status())
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .putHeader("Connection", "close")
                .end(reply.text().endsWith("\n") ? reply.text() : reply.text() + "\n")
                .onComplete(v -> request.connection().close());
    }
}
