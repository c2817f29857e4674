package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.function.Consumer;
import pewtercourse.Log;
import pewtercourse.Timers;

/**
 * Follows the control feed: reads events until the connection ends or falls silent, then calls again with the
 * number of the last one. Each event is applied once and in its place: what was seen is passed over, and where a
 * number is missing the feed is asked again for it. When the feed moves, the old connection is read until the
 * new one is up.
 */
public final class FeedClient {
    private static final long SILENCE_MS = 2_500, AGAIN_FIRST_MS = 50, AGAIN_MOST_MS = 500;
    // Each wait is drawn from the shortest up to this multiple of the one before (decorrelated jitter). Guards against
    // a whole fleet, which loses the feed in one instant, calling it again in step.
    private static final long AGAIN_SPREAD = 3;
    // An event that can't be read, or is missing, is asked for this often, then passed over: one that stays bad
    // must not keep out all that follow.
    private static final int ASK_AGAIN = 3;

    private final FeedTransport transport;
    private final Timers timers;
    private final Consumer<FeedEvent> handler;
    private final Random random;
    private InetSocketAddress address;
    private long seen, again = AGAIN_FIRST_MS, retry = -1;
    private int asked;
    private Link current, before;

    public FeedClient(
            FeedTransport transport,
            Timers timers,
            InetSocketAddress address,
            long seen,
            Random random,
            Consumer<FeedEvent> handler) {
        this.random = random;
        this.transport = transport;
        this.timers = timers;
        this.address = address;
        this.seen = seen;
        this.handler = handler;
    }

    public void start() {
        timers.cancel(retry);
        current = new Link();
        current.open();
    }

    /** The feed is at another address from now on; the numbers go on. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        Log.info("feed.moved", "from", address, "to", to, "seen", seen);
        address = to;
        again = AGAIN_FIRST_MS;
        if (before == null || before.over) {
            before = current;
        } else if (current != null) {
            current.end();
        }
        start();
    }

    private final class Link implements FeedTransport.Listener {
        private final SseReader reader = new SseReader(this::event);
        private Runnable close;
        private long silence = -1;
        private boolean over;

        void open() {
            silence = timers.set(SILENCE_MS, () -> ended("silent"));
            close = transport.follow(address, seen, this);
            if (over) {
                close.run(); // It failed before it returned.
            }
        }

        @Override
        public void up() {
            if (over) {
                return;
            }
            Log.info("feed.connected", "from", seen);
            if (this == current && before != null) {
                before.end();
                before = null;
            }
        }

        @Override
        public void bytes(Buffer bytes) {
            if (over) {
                return;
            }
            timers.cancel(silence);
            silence = timers.set(SILENCE_MS, () -> ended("silent"));
            try {
                reader.add(bytes);
            } catch (IllegalStateException e) {
                ended("unreadable: " + e.getMessage());
            }
        }

        private void event(String data) {
            if (over) {
                return;
            }
            FeedEvent e;
            try {
                e = FeedEvent.decode(new JsonObject(data));
            } catch (RuntimeException ex) {
                Log.warn("feed.malformed", "event", data.length() > 200 ? data.substring(0, 200) : data, "error", ex);
                askAgain("malformed");
                return;
            }
            if (e.number() <= seen || e.number() > seen + 1 && askAgain("skipped " + (seen + 1))) {
                return;
            }
            seen = e.number();
            asked = 0;
            again = AGAIN_FIRST_MS;
            handler.accept(e);
        }

        private boolean askAgain(String why) {
            if (asked >= ASK_AGAIN) {
                return false;
            }
            asked++;
            ended(why);
            return true;
        }

        @Override
        public void ended(String why) {
            if (over) {
                return;
            }
            end();
            Log.warn("feed.lost", "why", why, "seen", seen);
            if (this == current) {
                again = Math.min(AGAIN_MOST_MS, random.nextLong(AGAIN_FIRST_MS, AGAIN_SPREAD * again + 1));
                retry = timers.set(again, FeedClient.this::start);
            }
        }

        void end() {
            over = true;
            timers.cancel(silence);
            if (close != null) {
                close.run();
            }
        }
    }
}
