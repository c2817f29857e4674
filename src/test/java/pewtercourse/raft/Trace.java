package pewtercourse.raft;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A digest of all outputs of a run. Each output is a line with a fixed tag and its values by position, so that the
 * digest does not depend on the names of Java types, fields or enum constants.
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

    /** Adds a line to the digest. Values are numbers, booleans, strings, byte arrays or null. */
    void line(String tag, Object... values) {
        StringBuilder line = new StringBuilder(tag);
        for (Object value : values) {
            line.append('\t').append(canonicalText(value));
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String canonicalText(Object value) {
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
        throw new IllegalArgumentException("no canonical form for a value of " + value.getClass());
    }

    /** Counts an event of this kind; the counts are not part of the digest. */
    void count(String kind) {
        counts.merge(kind, 1, Integer::sum);
    }

    /** The number of events by kind. */
    Map<String, Integer> counts() {
        return counts;
    }

    /** Returns the hash of all lines; called once. */
    String hash() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
