package pewtercourse.lease;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import pewtercourse.lease.wire.LeaseWire;

/** Hashes a sequence of values by position. The names of types and fields do not enter the hash. */
final class TraceHash {
    private final MessageDigest digest;

    TraceHash() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    void number(long value) {
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }

    void bytes(byte[] value) {
        number(value.length);
        digest.update(value);
    }

    void text(String value) {
        bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    String hash() {
        return HexFormat.of().formatHex(digest.digest());
    }

    void outcome(CommandOutcome outcome) {
        text(outcomeText(outcome));
    }

    /** "done", or the text of the rejection, which begins with "late: " if the command was superseded. */
    static String outcomeText(CommandOutcome outcome) {
        return outcome.rejectionText()
                .map(text -> (outcome.isSuperseded() ? "late: " : "") + text)
                .orElse("done");
    }

    /** The field number of the command in its stored form, which does not depend on names in the code. */
    static int kind(byte[] command) throws IOException {
        return LeaseWire.Command.parseFrom(command).getKindCase().getNumber();
    }
}
