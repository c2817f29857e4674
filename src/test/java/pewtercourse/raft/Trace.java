package pewtercourse.raft;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A digest over everything that a run gave out. Each output is one line of a fixed tag and its values by position, so
 * that the digest depends on no name of a Java type, field or enum constant.
 */
final class Trace {
    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();

    Trace() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds one line. Values are numbers, booleans, strings, byte arrays or null. */
    void line(String tag, Object... values) {
        StringBuilder line = new StringBuilder(tag);
        for (Object value : values) {
            line.append('\t').append(text(value));
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String text(Object value) {
        if (value instanceof byte[] bytes) {
            return HexFormat.of().formatHex(bytes);
        }
        if (value == null
                || value instanceof Integer
                || value instanceof Long
                || value instanceof Boolean
                || value instanceof String) {
            return String.valueOf(value);
        }
        throw new IllegalArgumentException("no canonical form: " + value.getClass());
    }

    /** Notes that something of this kind occurred; it is no part of the digest. */
    void count(String kind) {
        counts.merge(kind, 1, Integer::sum);
    }

    Map<String, Integer> counts() {
        return counts;
    }

    String hash() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
