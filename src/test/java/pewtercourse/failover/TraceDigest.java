package pewtercourse.failover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 over a sequence of values. Holds no name of a Java type or field, so that a renamed type leaves it as it is;
 * numbers count to the last bit.
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
