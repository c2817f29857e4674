package pewtercourse.decision;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;

/**
 * Shares access counts among the routers. The count of each object is owned by one router, chosen by rendezvous
 * hashing. Routers report their accesses to the owner, which answers with the sums. A message consists of a kind
 * (1 byte) and entries of a hash (8 bytes) and a count (2 bytes, unsigned), big-endian.
 */
final class CountGossip {
    private static final byte REPORT = 1;
    private static final byte SUMS = 2;
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int ENTRY_BYTES = 10;
    /** Time between two reports. */
    private static final long REPORT_INTERVAL_MICROS = 2_000_000;
    /** Number of unreported accesses of one object that makes a report due at once. */
    private static final int URGENT_ACCESSES = 8;

    private final RoutingContext context;
    private final AccessCounts counts;
    /** Counts of the objects that this router owns. */
    private final LruTable<AccessCount> owned = new LruTable<>();
    /** Counts of the objects accessed since the last report. */
    private final LruTable<AccessCount> unreported = new LruTable<>();

    private long nextReportAt;

    CountGossip(RoutingContext context, AccessCounts counts) {
        this.context = context;
        this.counts = counts;
    }

    /** Schedules the first report at a random time, so that routers that start together don't all report at once. */
    void start(Random random) {
        nextReportAt = context.now() + REPORT_INTERVAL_MICROS + random.nextInt((int) REPORT_INTERVAL_MICROS);
    }

    void onAccess(long object, AccessCount count) {
        if (isEnabled()) {
            unreported.put(object, count);
            nextReportAt = count.unreported >= URGENT_ACCESSES ? context.now() : nextReportAt;
        }
    }

    void reportIfDue(ActionBuffer actions) {
        if (isEnabled() && context.now() >= nextReportAt) {
            report(actions);
            nextReportAt = context.now() + REPORT_INTERVAL_MICROS;
        }
    }

    /**
     * Answers a report with the sums, and stores received sums. Any other message, or one that is truncated or
     * too long, is ignored.
     */
    void onMessage(GossipReceived message, ActionBuffer actions) {
        if (!isAcceptable(message)) {
            return;
        }
        ByteBuffer payload = ByteBuffer.wrap(message.payload());
        byte kind = payload.get();
        ByteBuffer sums = null;
        while (payload.hasRemaining() && (kind == REPORT || kind == SUMS)) {
            long object = payload.getLong();
            int accesses = Math.min(AccessCount.MAX_COUNT, payload.getShort() & 0xffff);
            if (kind == REPORT) {
                sums = append(sums, SUMS, object, addToOwned(object, accesses));
            } else {
                counts.setTotal(object, accesses);
            }
        }
        send(message.router(), sums, actions);
    }

    private boolean isEnabled() {
        return context.settings().features().gossipEnabled()
                && context.settings().topology().routers() > 1;
    }

    private boolean isAcceptable(GossipReceived message) {
        int length = message.payload().length;
        RouterTopology topology = context.settings().topology();
        boolean wellFormed =
                length >= 1 + ENTRY_BYTES && length <= MAX_MESSAGE_BYTES && (length - 1) % ENTRY_BYTES == 0;
        boolean knownSender =
                message.router() >= 0 && message.router() < topology.routers() && message.router() != topology.router();
        return wellFormed && knownSender && context.settings().features().gossipEnabled();
    }

    // Reports the accesses counted since the last report, in one message per owner. Accesses that don't fit into
    // the message are not reported, and neither is a single access to an object that another router owns.
    private void report(ActionBuffer actions) {
        ByteBuffer[] messages = new ByteBuffer[context.settings().topology().routers()];
        for (Map.Entry<Long, AccessCount> entry : unreported.entrySet()) {
            long object = entry.getKey();
            AccessCount count = entry.getValue();
            int owner = owner(object);
            if (owner == context.settings().topology().router()) {
                count.total = addToOwned(object, count.unreported);
            } else if (count.unreported > 1) {
                messages[owner] = append(messages[owner], REPORT, object, count.unreported);
            }
            count.unreported = 0;
        }
        unreported.clear();
        for (int router = 0; router < messages.length; router++) {
            send(router, messages[router], actions);
        }
    }

    private int owner(long object) {
        int bestRouter = 0;
        for (int router = 1; router < context.settings().topology().routers(); router++) {
            bestRouter = score(object, router) > score(object, bestRouter) ? router : bestRouter;
        }
        return bestRouter;
    }

    private static long score(long object, int router) {
        return Hashing.mix(object ^ Hashing.mix(router));
    }

    private int addToOwned(long object, int accesses) {
        return AccessCounts.countOf(owned, object, context.now()).add(accesses);
    }

    private static ByteBuffer append(ByteBuffer message, byte kind, long object, int accesses) {
        ByteBuffer buffer =
                message == null ? ByteBuffer.allocate(MAX_MESSAGE_BYTES).put(kind) : message;
        return buffer.remaining() < ENTRY_BYTES
                ? buffer
                : buffer.putLong(object).putShort((short) accesses);
    }

    private static void send(int router, ByteBuffer message, ActionBuffer actions) {
        if (message != null && message.position() > 1) {
            actions.add(new SendGossip(router, Arrays.copyOf(message.array(), message.position())));
        }
    }
}
