package pewtercourse.admin;

import io.vertx.core.Future;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** Runs the operators' calls on the cluster. 409 refuses a call with the reason; after 503 a retry may succeed. */
final class ClusterApi {
    private ClusterApi() {}

    /** Runs a call whose path begins with /cluster/ or /sites/. */
    static Future<AdminReply> handle(ClusterCalls cluster, AdminCall call) {
        String method = switch (call.path()) {
            case "/cluster/status", "/sites/status" -> "GET";
            case "/cluster/hand-on",
                    "/cluster/transfer",
                    "/cluster/add",
                    "/cluster/remove",
                    "/sites/drill",
                    "/sites/hold",
                    "/sites/release" -> "POST";
            default -> null;
        };
        if (method == null) {
            return Future.succeededFuture(AdminReply.of(404, "no such path"));
        }
        if (!method.equals(call.method())) {
            return Future.succeededFuture(new AdminReply(405, "the method is " + method, method));
        }
        JsonObject sites = call.path().startsWith("/sites/") ? cluster.sites() : null;
        if (call.path().startsWith("/sites/") && sites == null) {
            return Future.succeededFuture(AdminReply.of(404, "this director keeps no sites"));
        }
        if (call.path().equals("/sites/status")) {
            return Future.succeededFuture(AdminReply.of(200, sites.encode()));
        }
        if (method.equals("GET")) {
            return cluster.status().map(status -> AdminReply.of(200, status.encode()));
        }
        JsonObject body;
        try {
            body = new JsonObject(call.body().isEmpty() ? "{}" : call.body());
        } catch (DecodeException e) {
            return Future.succeededFuture(AdminReply.of(400, "the body is no JSON object"));
        }
        String name = stringOrEmpty(body, "name");
        String duty = stringOrEmpty(body, "duty");
        String member = stringOrEmpty(body, "to");
        String address = stringOrEmpty(body, "address");
        return switch (call.path()) {
            case "/cluster/hand-on" ->
                duty.isEmpty()
                        ? missing("duty")
                        : cluster.handOn(duty, member)
                                .map(ClusterApi::reply)
                                .otherwise(e -> AdminReply.of(503, e.getMessage()));
            case "/sites/drill", "/sites/hold", "/sites/release" ->
                name.isEmpty()
                        ? missing("name")
                        : cluster.site(call.path().substring("/sites/".length()), name)
                                .map(ClusterApi::reply)
                                .otherwise(e -> AdminReply.of(503, e.getMessage()));
            case "/cluster/transfer" -> Future.succeededFuture(reply(cluster.transfer(member)));
            case "/cluster/add" ->
                name.isEmpty()
                        ? missing("name")
                        : address.isEmpty()
                                ? missing("address")
                                : Future.succeededFuture(reply(cluster.add(name, address)));
            default -> name.isEmpty() ? missing("name") : Future.succeededFuture(reply(cluster.remove(name)));
        };
    }

    private static String stringOrEmpty(JsonObject body, String key) {
        return body.getValue(key) instanceof String text ? text : "";
    }

    private static Future<AdminReply> missing(String key) {
        return Future.succeededFuture(AdminReply.of(400, key + ": missing"));
    }

    private static AdminReply reply(String refusal) {
        return refusal == null ? AdminReply.of(200, "done") : AdminReply.of(409, refusal);
    }
}
