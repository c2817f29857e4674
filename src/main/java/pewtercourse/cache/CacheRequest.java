package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * A request to a cache.
 *
 * @param id                  correlation id of the client's request
 * @param className           class of the request
 * @param object              key of the object
 * @param part                number of the object's part
 * @param idempotencyKey      the client's key, by which repeats are dropped; null if there is none
 * @param body                body of the client's request; may be empty
 * @param fillSource          name of the endpoint that a miss is filled from; null for no fill
 * @param retentionRank       0: the object is not to be stored; 1 to 3: how much its copy is worth
 * @param maxAgeMs            maximum age of a copy that may be served; 0: as long as copies of the class are
 *     fresh
 * @param coalesce            whether the fill of another request may answer this one
 * @param onlyIfCached        whether the fill source may answer only with what it holds
 * @param refreshInBackground whether a stale copy may be served while it is renewed
 * @param knownTag            entity tag of the copy that the client holds; null if there is none
 */
public record CacheRequest(
        String id,
        String className,
        String object,
        int part,
        String idempotencyKey,
        Buffer body,
        String fillSource,
        int retentionRank,
        long maxAgeMs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean refreshInBackground,
        String knownTag) {
    private static final String UNESCAPED_MARKS = "-._~!$&'()*+,;=:@";

    /** Path of the object at a cache. */
    String path() {
        return "/o/" + segment(className) + '/' + object + '/' + part;
    }

    /** Encodes a path segment as in RFC 3986: bytes that may not stand in one are percent-encoded. */
    private static String segment(String text) {
        StringBuilder encoded = new StringBuilder(text.length());
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            boolean unescaped = b > ' ' && b < 127 && (Character.isLetterOrDigit(b) || UNESCAPED_MARKS.indexOf(b) >= 0);
            if (unescaped) {
                encoded.append((char) b);
            } else {
                encoded.append(String.format("%%%02X", b));
            }
        }
        return encoded.toString();
    }

    /** An encoded request without its time limit, which is known only when it is written. */
    record Encoded(String id, byte[] beforeTimeout, byte[] afterTimeout) {}

    /** Encodes the request as a GET, also with a body: caches answer 400 to any other method. */
    Encoded encode(String host) {
        StringBuilder head =
                new StringBuilder(256).append("GET ").append(path()).append(" HTTP/1.1\r\n");
        appendField(head, "Host", host);
        appendField(head, "Request-Id", id);
        Buffer beforeTimeout = Buffer.buffer(head.append("Timeout-Ms: ").toString());
        head.setLength(0);
        head.append("\r\n");
        appendField(head, "Once-Key", idempotencyKey);
        appendField(head, "X-Fill-From", fillSource);
        appendField(head, "X-Keep", retentionRank > 0 ? String.valueOf(retentionRank) : null);
        appendField(head, "X-Max-Age-Ms", maxAgeMs > 0 ? String.valueOf(maxAgeMs) : null);
        appendField(head, "X-Flags", flags().isEmpty() ? null : flags());
        appendField(head, "If-None-Match", knownTag);
        appendField(head, "Content-Length", body.length() > 0 ? String.valueOf(body.length()) : null);
        Buffer afterTimeout = Buffer.buffer(head.append("\r\n").toString()).appendBuffer(body);
        return new Encoded(id, beforeTimeout.getBytes(), afterTimeout.getBytes());
    }

    private static void appendField(StringBuilder head, String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }

    /** The words of the header X-Flags; empty if no flag is set. */
    String flags() {
        StringBuilder words = new StringBuilder();
        appendWord(words, coalesce, "wait-for");
        appendWord(words, onlyIfCached, "no-fetch");
        appendWord(words, refreshInBackground, "background");
        return words.toString();
    }

    private static void appendWord(StringBuilder words, boolean isSet, String word) {
        if (isSet) {
            words.append(words.isEmpty() ? "" : "+").append(word);
        }
    }
}
