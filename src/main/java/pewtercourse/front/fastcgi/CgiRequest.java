package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** Decodes requests from CGI parameters, and encodes the heads of answers as CGI responses. */
final class CgiRequest {
    private static final String CLASS_PATH_PREFIX = "/ops/";
    private static final String HEALTH_PATH = "/alive";

    // Far above the values of any class; an object of this size would take half a minute to send.
    private static final double MAX_DEADLINE_MS = 60_000;
    private static final double MAX_SIZE_KB = 100_000;
    private static final int MAX_GROUP = 255;
    private static final int MAX_TAG_LENGTH = 64;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final Pattern PLAIN_NUMBER = Pattern.compile("[0-9]+(\\.[0-9]+)?");

    private static final Set<String> PARAMETERS = Set.of(
            "HTTP_X_CHUNK",
            "HTTP_X_CORRELATION_ID",
            "HTTP_X_DEADLINE_MS",
            "HTTP_X_KNOWN",
            "HTTP_X_NEED_KB",
            "HTTP_X_OPERATION_KEY",
            "HTTP_X_RESENT",
            "HTTP_X_SUBJECT",
            "HTTP_X_TAG",
            "SCRIPT_NAME");

    private CgiRequest() {}

    /** Whether a parameter of this name belongs to a request. */
    static boolean isParameter(String name) {
        return PARAMETERS.contains(name);
    }

    /** Whether the request is a health check of the director itself. */
    static boolean isHealthCheck(Map<String, String> params) {
        return HEALTH_PATH.equals(params.get("SCRIPT_NAME"));
    }

    /** Decodes a complete request; throws if a parameter is missing or invalid. */
    static ClientRequest decode(Map<String, String> params, Buffer body, long nowMicros)
            throws MalformedRecordException {
        String script = params.getOrDefault("SCRIPT_NAME", "");
        if (!script.startsWith(CLASS_PATH_PREFIX) || script.length() == CLASS_PATH_PREFIX.length()) {
            throw new MalformedRecordException("SCRIPT_NAME is not /ops/ followed by a class");
        }
        double deadlineMs = number(params, "HTTP_X_DEADLINE_MS", MAX_DEADLINE_MS, -1);
        if (deadlineMs < 0) {
            throw new MalformedRecordException("HTTP_X_DEADLINE_MS is missing");
        }
        return new ClientRequest(
                hex(params, "HTTP_X_CORRELATION_ID"),
                script.substring(CLASS_PATH_PREFIX.length()),
                hex(params, "HTTP_X_SUBJECT"),
                integer(params, "HTTP_X_CHUNK", Integer.MAX_VALUE),
                integer(params, "HTTP_X_TAG", MAX_GROUP),
                number(params, "HTTP_X_NEED_KB", MAX_SIZE_KB, 0),
                headerToken(params, "HTTP_X_KNOWN", MAX_TAG_LENGTH),
                headerToken(params, "HTTP_X_OPERATION_KEY", MAX_IDEMPOTENCY_KEY_LENGTH),
                integer(params, "HTTP_X_RESENT", 1) == 1,
                body,
                nowMicros,
                deadlineMs);
    }

    // The value is copied into a header: a space or control character could end that header and begin another.
    private static String headerToken(Map<String, String> params, String name, int maxLength)
            throws MalformedRecordException {
        String value = params.get(name);
        if (value == null || value.isEmpty()) {
            return null;
        }
        if (value.length() > maxLength || !value.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new MalformedRecordException(
                    name + " is not a value of at most " + maxLength + " printable ASCII characters without blanks");
        }
        return value;
    }

    private static String hex(Map<String, String> params, String name) throws MalformedRecordException {
        String value = params.getOrDefault(name, "");
        if (value.length() != 16 || !value.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new MalformedRecordException(name + " is not 16 hex digits");
        }
        return value;
    }

    private static int integer(Map<String, String> params, String name, int max) throws MalformedRecordException {
        double parsed = number(params, name, max, 0);
        if (parsed != Math.rint(parsed)) {
            throw invalidNumber(name, params.get(name));
        }
        return (int) parsed;
    }

    private static double number(Map<String, String> params, String name, double max, double defaultValue)
            throws MalformedRecordException {
        String value = params.get(name);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        // Only plain digits: Double.parseDouble also accepts signs, exponents, hexadecimal numbers and NaN.
        if (value.length() <= 24 && PLAIN_NUMBER.matcher(value).matches()) {
            double parsed = Double.parseDouble(value);
            if (parsed <= max) {
                return parsed;
            }
        }
        throw invalidNumber(name, value);
    }

    private static MalformedRecordException invalidNumber(String name, String value) {
        return new MalformedRecordException(
                name + " '" + (value.length() <= 40 ? value : value.substring(0, 40) + "...")
                        + "' is not a number in the allowed range");
    }

    /** Encodes the head of an answer as a CGI response; the body follows it unchanged. */
    static Buffer encodeHead(Answer answer) {
        String status = switch (answer.kind()) {
            case SERVED, SAME -> "200 OK";
            case REFUSED -> "503 Service Unavailable";
            case FAILED -> "502 Bad Gateway";
        };
        StringBuilder head = new StringBuilder("Status: ").append(status).append("\r\n");
        head.append("Content-Type: application/octet-stream\r\n");
        head.append("Content-Length: ").append(answer.body().length()).append("\r\n");
        if (answer.tag() != null) {
            head.append("ETag: ").append(answer.tag()).append("\r\n");
        }
        if (answer.kind() == Answer.Kind.SAME) {
            head.append("X-Valid: 1\r\n");
        }
        if (answer.kind() == Answer.Kind.REFUSED && answer.pushbackMs() > 0) {
            head.append("X-Pushback-Ms: ").append(answer.pushbackMs()).append("\r\n");
        }
        return Buffer.buffer(head.append("\r\n").toString());
    }
}
