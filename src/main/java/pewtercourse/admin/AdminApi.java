package pewtercourse.admin;

import io.vertx.core.Future;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** Runs the operators' calls: maps each path to its operation and the result to a reply. Uses no sockets. */
final class AdminApi {
    private final Operations director;

    AdminApi(Operations director) {
        this.director = director;
    }

    /** Runs a call. */
    Future<AdminReply> handle(AdminCall call) {
        if ((call.path().startsWith("/cluster/") || call.path().startsWith("/sites/")) && director.cluster() != null) {
            return ClusterApi.handle(director.cluster(), call);
        }
        String method = switch (call.path()) {
            case "/status", "/status/metrics" -> "GET";
            case "/maintenance/enter", "/maintenance/exit", "/standby", "/active", "/reload" -> "POST";
            default -> null;
        };
        if (method == null) {
            return Future.succeededFuture(AdminReply.of(404, "no such path"));
        }
        if (!method.equals(call.method())) {
            return Future.succeededFuture(new AdminReply(405, "the method is " + method, method));
        }
        switch (call.path()) {
            case "/status":
                return Future.succeededFuture(
                        director.canServe() ? AdminReply.of(200, "ready") : AdminReply.of(503, "not ready"));
            case "/status/metrics":
                return Future.succeededFuture(AdminReply.of(200, director.metrics()));
            case "/maintenance/enter", "/maintenance/exit":
                return maintenance(call);
            case "/reload":
                return director.reload()
                        .map(verdict -> verdict.refused() == null
                                ? AdminReply.of(200, "reloaded")
                                : AdminReply.of(422, verdict.refused()));
            case "/standby":
                director.standby();
                return Future.succeededFuture(AdminReply.of(200, "standby"));
            default:
                director.active();
                return Future.succeededFuture(AdminReply.of(200, "active"));
        }
    }

    private Future<AdminReply> maintenance(AdminCall call) {
        Object target;
        try {
            target = new JsonObject(call.body()).getValue("target");
        } catch (DecodeException e) {
            return Future.succeededFuture(AdminReply.of(400, "the body is no JSON object"));
        }
        if (!(target instanceof String name) || name.isEmpty()) {
            return Future.succeededFuture(AdminReply.of(400, "target: the id of a cache is missing"));
        }
        boolean entering = call.path().endsWith("/enter");
        return (entering ? director.enterMaintenance(name) : director.exitMaintenance(name))
                .map(verdict -> !verdict.known()
                        ? AdminReply.of(404, "target: unknown id")
                        : verdict.refused() != null
                                ? AdminReply.of(503, verdict.refused())
                                : AdminReply.of(200, (entering ? "out: " : "in: ") + name));
    }
}
