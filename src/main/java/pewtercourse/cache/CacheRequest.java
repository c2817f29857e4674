package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * One attempt as it goes out. {@code source} null: no fill; {@code maxAgeMs} 0: as long as copies are fresh;
 * {@code known} null: no tag of the client's is passed on.
 */
public record CacheRequest(
        String id,
        String className,
        String object,
        int part,
        Buffer body,
        String source,
        int keep,
        long maxAgeMs,
        boolean join,
        boolean sourceHoldsOnly,
        boolean renew,
        String known) {
    private static final String SEGMENT_MARKS = "-._~!$&'()*+,;=:@";

    String path() {
        return "/o/" + segment(className) + '/' + object + '/' + part;
    }

    /** A path segment by RFC 3986: what it doesn't allow is percent-encoded, byte by byte. */
    private static String segment(String text) {
        StringBuilder encoded = new StringBuilder(text.length());
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            boolean plain = b > ' ' && b < 127 && (Character.isLetterOrDigit(b) || SEGMENT_MARKS.indexOf(b) >= 0);
            if (plain) {
                encoded.append((char) b);
            } else {
                encoded.append(String.format("%%%02X", b));
            }
        }
        return encoded.toString();
    }

    /** GET with a body too: caches answer 400 to any other method, whatever the client's was. */
    Buffer encode(String host, long timeoutMs) {
        StringBuilder head =
                new StringBuilder(256).append("GET ").append(path()).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        field(head, "Request-Id", id);
        field(head, "Timeout-Ms", String.valueOf(timeoutMs));
        field(head, "X-Fill-From", source);
        field(head, "X-Keep", keep > 0 ? String.valueOf(keep) : null);
        field(head, "X-Max-Age-Ms", maxAgeMs > 0 ? String.valueOf(maxAgeMs) : null);
        field(head, "X-Flags", flags().isEmpty() ? null : flags());
        field(head, "If-None-Match", known);
        field(head, "Content-Length", body.length() > 0 ? String.valueOf(body.length()) : null);
        return Buffer.buffer(head.append("\r\n").toString()).appendBuffer(body);
    }

    private static void field(StringBuilder to, String name, String value) {
        if (value != null) {
            to.append(name).append(": ").append(value).append("\r\n");
        }
    }

    String flags() {
        StringBuilder words = new StringBuilder();
        word(words, join, "wait-for");
        word(words, sourceHoldsOnly, "no-fetch");
        word(words, renew, "background");
        return words.toString();
    }

    private static void word(StringBuilder to, boolean set, String word) {
        if (set) {
            to.append(to.isEmpty() ? "" : "+").append(word);
        }
    }
}
