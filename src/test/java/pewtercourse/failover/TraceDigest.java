package pewtercourse.failover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes a SHA-256 digest over a sequence of values. The digest contains no names of Java types or fields, so
 * renaming them does not change it. Numbers contribute all of their bits.
 */
final class TraceDigest {
    private final MessageDigest digest;
    private final ByteBuffer number = ByteBuffer.allocate(Long.BYTES);

    TraceDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    TraceDigest add(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        add(bytes.length);
        digest.update(bytes);
        return this;
    }

    TraceDigest add(long value) {
        number.clear();
        digest.update(number.putLong(value).flip());
        return this;
    }

    TraceDigest add(double value) {
        return add(Double.doubleToLongBits(value));
    }

    TraceDigest add(boolean value) {
        return add(value ? 1L : 0L);
    }

    String hex() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
