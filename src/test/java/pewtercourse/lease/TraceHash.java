package pewtercourse.lease;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import pewtercourse.lease.wire.LeaseWire;

/** Hashes a sequence of values by position. The names of types and fields do not enter the hash. */
final class TraceHash {
    // By the present text: the text at the time when the hashes in the golden file were recorded.
    private static final Map<String, String> RECORDED_OUTCOMES = Map.ofEntries(
            Map.entry("done", "done"),
            Map.entry("stale fencing token", "an older token"),
            Map.entry(
                    "late: another command on this cache or site was agreed first: try again",
                    "late: another word on this was agreed first: call again"),
            Map.entry("the lease was renewed or assigned in the meantime", "renewed or assigned meanwhile"),
            Map.entry("this renewal was already applied", "renewed before"),
            Map.entry("the member's status is already as reported", "known"),
            Map.entry("too many members are ineligible or absent", "known"),
            Map.entry("1024 caches are drained, which is the maximum", "1024 are out"),
            Map.entry("1024 maintenance requests are open, which is the maximum", "1024 calls wait or are out"),
            Map.entry("the maintenance request was cancelled in the meantime", "withdrawn meanwhile"),
            Map.entry("the maintenance request does not exist any more", "withdrawn before"),
            Map.entry(
                    "only the holder of the maintenance lease, or the requesting member before the grant, may cancel it",
                    "an older token, or another's ticket"),
            Map.entry("too many members request quota", "too many wishes"),
            Map.entry("the quota request does not exist any more", "not wished for any more"),
            Map.entry("the grant exceeds the quota pool or the number of grants", "over what may be lent"),
            Map.entry("the quota grant was already released", "settled before"),
            Map.entry(
                    "another change of this site's status was agreed first", "another change of this site came first"));

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

    /** Hashes the text that this outcome had when the hashes were recorded. Fails if no such text is known. */
    void outcome(CommandOutcome outcome) {
        String text = outcomeText(outcome);
        String recorded = RECORDED_OUTCOMES.get(text);
        if (recorded == null) {
            throw new AssertionError("no recorded text for the outcome '" + text + "'");
        }
        text(recorded);
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
