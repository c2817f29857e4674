package pewtercourse.admin;

/** The operators' calls: what each path does, and what is answered. Knows no sockets. */
final class AdminApi {
    private final Operations director;

    AdminApi(Operations director) {
        this.director = director;
    }

    AdminReply handle(AdminCall call) {
        String method = switch (call.path()) {
            case "/status" -> "GET";
            case "/standby", "/active" -> "POST";
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
            case "/standby":
                director.standby();
                return AdminReply.of(200, "standby");
            default:
                director.active();
                return AdminReply.of(200, "active");
        }
    }
}
