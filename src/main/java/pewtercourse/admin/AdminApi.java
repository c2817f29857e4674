package pewtercourse.admin;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** The operators' calls: what each path does, and what is answered. Knows no sockets. */
final class AdminApi {
    private final Operations director;

    AdminApi(Operations director) {
        this.director = director;
    }

    AdminReply handle(AdminCall call) {
        String method = switch (call.path()) {
            case "/status", "/status/metrics" -> "GET";
            case "/maintenance/enter", "/maintenance/exit", "/standby", "/active" -> "POST";
            default -> null;
        };
        if (method == null) {
            return AdminReply.of(404, "no such path");
        }
        if (!method.equals(call.method())) {
            return new AdminReply(405, "the method is " + method, method);
        }
        switch (call.path()) {
            case "/status":
                return director.canServe() ? AdminReply.of(200, "ready") : AdminReply.of(503, "not ready");
            case "/status/metrics":
                return AdminReply.of(200, director.metrics());
            case "/maintenance/enter", "/maintenance/exit":
                return maintenance(call);
            case "/standby":
                director.standby();
                return AdminReply.of(200, "standby");
            default:
                director.active();
                return AdminReply.of(200, "active");
        }
    }

    private AdminReply maintenance(AdminCall call) {
        Object target;
        try {
            target = new JsonObject(call.body()).getValue("target");
        } catch (DecodeException e) {
            return AdminReply.of(400, "the body is no JSON object");
        }
        if (!(target instanceof String name) || name.isEmpty()) {
            return AdminReply.of(400, "target: the id of a cache is missing");
        }
        boolean out = call.path().endsWith("/enter");
        boolean known = out ? director.enterMaintenance(name) : director.exitMaintenance(name);
        return known ? AdminReply.of(200, (out ? "out: " : "in: ") + name) : AdminReply.of(404, "target: unknown id");
    }
}
