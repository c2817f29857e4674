package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** The fields of a request as CGI parameters, and an answer as a CGI response. */
final class CgiRequest {
    private static final String PREFIX = "/ops/", HEALTH = "/alive";

    private CgiRequest() { }

    static boolean isHealthCheck(Map<String, String> params) {
        return HEALTH.equals(params.get("SCRIPT_NAME"));
    }

    static ClientRequest decode(Map<String, String> params, Buffer body, long now)
            throws MalformedRecordException {
        String script = params.getOrDefault("SCRIPT_NAME", "");
        if (!script.startsWith(PREFIX) || script.length() == PREFIX.length()) {
            throw new MalformedRecordException("SCRIPT_NAME '" + script + "' names no class");
        }
        double left = number(params, "HTTP_X_DEADLINE_MS", -1);
        if (left < 0) {
            throw new MalformedRecordException("HTTP_X_DEADLINE_MS is missing");
        }
        return new ClientRequest(hex(params, "HTTP_X_CORRELATION_ID"), script.substring(PREFIX.length()),
                hex(params, "HTTP_X_SUBJECT"), (int) number(params, "HTTP_X_CHUNK", 0),
                (int) number(params, "HTTP_X_TAG", 0), number(params, "HTTP_X_NEED_KB", 0),
                params.get("HTTP_X_KNOWN"), body, now, left);
    }

    private static String hex(Map<String, String> params, String name) throws MalformedRecordException {
        String v = params.getOrDefault(name, "");
        if (v.length() != 16 || !v.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new MalformedRecordException(name + " '" + v + "' is not 16 hex digits");
        }
        return v;
    }

    private static double number(Map<String, String> params, String name, double otherwise)
            throws MalformedRecordException {
        String v = params.get(name);
        if (v == null || v.isEmpty()) {
            return otherwise;
        }
        try {
            double d = Double.parseDouble(v);
            if (d >= 0 && d <= Integer.MAX_VALUE) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new MalformedRecordException(name + " '" + v + "' is not a number that can be used");
    }

    static Buffer encode(Answer a) {
        String status = switch (a.kind()) {
            case SERVED, SAME -> "200 OK";
            case REFUSED -> "503 Service Unavailable";
            case FAILED -> "502 Bad Gateway";
        };
        StringBuilder head = new StringBuilder("Status: ").append(status).append("\r\n");
        head.append("Content-Type: application/octet-stream\r\n");
        head.append("Content-Length: ").append(a.body().length()).append("\r\n");
        if (a.tag() != null) {
            head.append("ETag: ").append(a.tag()).append("\r\n");
        }
        if (a.kind() == Answer.Kind.SAME) {
            head.append("X-Valid: 1\r\n");
        }
        if (a.kind() == Answer.Kind.REFUSED && a.holdOffMs() > 0) {
            head.append("X-Pushback-Ms: ").append(a.holdOffMs()).append("\r\n");
        }
        return Buffer.buffer(head.append("\r\n").toString()).appendBuffer(a.body());
    }
}
