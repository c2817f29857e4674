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

/** The operators' address: HTTP/1.1, one call to a connection. */
public final class AdminServer {
    private static final int HEAD_MOST = 4_096, LINE_MOST = 1_024, BODY_MOST = 4_096;

    private final HttpServer server;
    private final AdminApi api;
    private final CallTable<HttpConnection> table;

    public AdminServer(Vertx vertx, Operations director) {
        api = new AdminApi(director);
        table = new CallTable<>(Timers.of(vertx), HttpConnection::close);
        server = vertx.createHttpServer(new HttpServerOptions()
                .setReuseAddress(true)
                .setAcceptBacklog(64)
                .setTcpNoDelay(true)
                .setMaxHeaderSize(HEAD_MOST)
                .setMaxInitialLineLength(LINE_MOST)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false));
        server.connectionHandler(c -> {
            table.opened(c);
            c.closeHandler(v -> table.ended(c));
        });
        server.requestHandler(this::read);
        server.exceptionHandler(e -> Log.counted("admin.caller_error", "error", e));
        server.invalidRequestHandler(r -> reply(r, AdminReply.of(400, "unreadable")));
    }

    public Future<HttpServer> listen(SocketAddress at) {
        return server.listen(at);
    }

    private void read(HttpServerRequest r) {
        Buffer body = Buffer.buffer();
        r.handler(b -> {
            if (body.length() <= BODY_MOST) {
                body.appendBuffer(b);
                if (body.length() > BODY_MOST) {
                    reply(r, AdminReply.of(413, "a body has at most " + BODY_MOST + " bytes"));
                }
            }
        });
        r.exceptionHandler(e -> r.connection().close());
        r.endHandler(v -> {
            if (body.length() <= BODY_MOST) {
                handle(new AdminCall(r.method().name(), r.path(), body.toString()))
                        .onSuccess(a -> reply(r, a))
                        .onFailure(e -> reply(r, unexpected(e)));
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

    private static void reply(HttpServerRequest r, AdminReply a) {
        if (r.response().ended()) {
            return;
        }
        if (a.allow() != null) {
            r.response().putHeader("Allow", a.allow());
        }
        r.response()
                .setStatusCode(a.status())
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .putHeader("Connection", "close")
                .end(a.text().endsWith("\n") ? a.text() : a.text() + "\n")
                .onComplete(v -> r.connection().close());
    }
}
