package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.regex.Pattern;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** The fields of a request as CGI parameters, and an answer as a CGI response. */
final class CgiRequest {
    private static final String PREFIX = "/ops/", HEALTH = "/alive";

    // Far past what any class has; a size this large would take half a minute to send.
    private static final double DEADLINE_MOST = 60_000, SIZE_MOST = 100_000;
    private static final int GROUP_MOST = 255, KNOWN_MOST = 64;
    private static final Pattern PLAIN = Pattern.compile("[0-9]+(\\.[0-9]+)?");

    private CgiRequest() {}

    static boolean isHealthCheck(Map<String, String> params) {
        return HEALTH.equals(params.get("SCRIPT_NAME"));
    }

    static ClientRequest decode(Map<String, String> params, Buffer body, long now) throws MalformedRecordException {
        String script = params.getOrDefault("SCRIPT_NAME", "");
        if (!script.startsWith(PREFIX) || script.length() == PREFIX.length()) {
            throw new MalformedRecordException("SCRIPT_NAME names no class");
        }
        double left = number(params, "HTTP_X_DEADLINE_MS", DEADLINE_MOST, -1);
        if (left < 0) {
            throw new MalformedRecordException("HTTP_X_DEADLINE_MS is missing");
        }
        return new ClientRequest(
                hex(params, "HTTP_X_CORRELATION_ID"),
                script.substring(PREFIX.length()),
                hex(params, "HTTP_X_SUBJECT"),
                whole(params, "HTTP_X_CHUNK", Integer.MAX_VALUE),
                whole(params, "HTTP_X_TAG", GROUP_MOST),
                number(params, "HTTP_X_NEED_KB", SIZE_MOST, 0),
                known(params.get("HTTP_X_KNOWN")),
                body,
                now,
                left);
    }

    // It goes on into a header: what isn't a plain word could end that header and begin another.
    private static String known(String tag) throws MalformedRecordException {
        if (tag == null || tag.isEmpty()) {
            return null;
        }
        if (tag.length() > KNOWN_MOST || !tag.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new MalformedRecordException("HTTP_X_KNOWN is no tag");
        }
        return tag;
    }

    private static String hex(Map<String, String> params, String name) throws MalformedRecordException {
        String v = params.getOrDefault(name, "");
        if (v.length() != 16 || !v.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new MalformedRecordException(name + " is not 16 hex digits");
        }
        return v;
    }

    private static int whole(Map<String, String> params, String name, int most) throws MalformedRecordException {
        double d = number(params, name, most, 0);
        if (d != Math.rint(d)) {
            throw unusable(name, params.get(name));
        }
        return (int) d;
    }

    private static double number(Map<String, String> params, String name, double most, double otherwise)
            throws MalformedRecordException {
        String v = params.get(name);
        if (v == null || v.isEmpty()) {
            return otherwise;
        }
        // Plain digits only: the language's own parser would also take signs, exponents, hex and NaN.
        if (v.length() <= 24 && PLAIN.matcher(v).matches()) {
            double d = Double.parseDouble(v);
            if (d <= most) {
                return d;
            }
        }
        throw unusable(name, v);
    }

    private static MalformedRecordException unusable(String name, String v) {
        return new MalformedRecordException(name + " '" + (v.length() <= 40 ? v : v.substring(0, 40) + "...")
                + "' is not a number that can be used");
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
