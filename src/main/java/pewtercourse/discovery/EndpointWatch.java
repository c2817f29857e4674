package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pewtercourse.Log;
import pewtercourse.Timers;

/**
 * A watch on the control feed. It reads events until the connection ends or falls silent, then reconnects with backoff and
 * asks for what follows the last event. Each event is handled once and in order: one that was handled before is skipped,
 * and where a number is missing the feed is asked for it again. When the feed moves to another address, events are read
 * from the old connection until the new one is up.
 *
 * <p>Runs on the thread that calls it, its transport and its timers; it is not thread-safe.
 */
public final class EndpointWatch {
    private static final long SILENCE_TIMEOUT_MS = 2_500;
    private static final int MAX_LOGGED_CHARACTERS = 200;
    // An event that can't be read, or is missing, is requested this often before it is skipped: one that stays bad must
    // not keep out all that follow.
    private static final int MAX_EVENT_RETRIES = 3;
    private static final long NO_TIMER = -1;

    private final WatchTransport transport;
    private final Timers timers;
    private final Consumer<WatchEvent> handler;
    private final Backoff backoff;
    private InetSocketAddress address;
    private long lastEvent;
    private int eventRetries;
    private long reconnectTimer = NO_TIMER;
    private Stream current;
    // Still read while the stream from the new address of the feed is not up; null if there is none.
    private Stream previous;

    /**
     * A watch that is not started.
     *
     * @param lastEvent the number of the last event that is known; the feed is asked for those after it
     * @param random    draws the delays before reconnecting
     * @param handler   gets each event once, in the order of their numbers
     */
    public EndpointWatch(
            WatchTransport transport,
            Timers timers,
            InetSocketAddress address,
            long lastEvent,
            RandomGenerator random,
            Consumer<WatchEvent> handler) {
        this.transport = transport;
        this.timers = timers;
        this.address = address;
        this.lastEvent = lastEvent;
        this.backoff = new Backoff(random);
        this.handler = handler;
    }

    /** Connects to the feed. */
    public void start() {
        timers.cancel(reconnectTimer);
        current = new Stream();
        current.open();
    }

    /** The feed has another address from now on, with the same numbers of events. */
    public void move(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Log.info("discovery.moved", "from", address, "to", newAddress, "seen", lastEvent);
        address = newAddress;
        backoff.reset();
        if (previous == null || previous.closed) {
            previous = current;
        } else if (current != null) {
            current.close();
        }
        start();
    }

    private void handle(WatchEvent event) {
        lastEvent = event.number();
        eventRetries = 0;
        backoff.reset();
        handler.accept(event);
    }

    private void reconnectLater() {
        reconnectTimer = timers.set(backoff.nextDelayMs(), this::start);
    }

    /** The events that come by one connection. */
    private final class Stream implements WatchTransport.Listener {
        private final ServerSentEventReader reader = new ServerSentEventReader(this::read);
        private WatchTransport.Connection connection;
        private long silenceTimer = NO_TIMER;
        private boolean closed;

        void open() {
            restartSilenceTimer();
            connection = transport.open(address, lastEvent, this);
            if (closed) {
                connection.close(); // It failed before it was returned.
            }
        }

        private void restartSilenceTimer() {
            timers.cancel(silenceTimer);
            silenceTimer = timers.set(SILENCE_TIMEOUT_MS, () -> disconnected("silent"));
        }

        @Override
        public void connected() {
            if (closed) {
                return;
            }
            Log.info("discovery.connected", "from", lastEvent);
            if (this == current && previous != null) {
                previous.close();
                previous = null;
            }
        }

        @Override
        public void received(Buffer bytes) {
            if (closed) {
                return;
            }
            restartSilenceTimer();
            try {
                reader.read(bytes);
            } catch (IllegalStateException e) {
                disconnected("unreadable: " + e.getMessage());
            }
        }

        private void read(String data) {
            if (closed) {
                return;
            }
            WatchEvent event;
            try {
                event = WatchEventDecoder.decode(data);
            } catch (MalformedEventException e) {
                String shown = data.substring(0, Math.min(MAX_LOGGED_CHARACTERS, data.length()));
                Log.warn("discovery.malformed", "event", shown, "error", e.getCause());
                retryEvent("malformed");
                return;
            }
            boolean handledBefore = event.number() <= lastEvent;
            boolean afterGap = event.number() > lastEvent + 1;
            if (handledBefore || afterGap && retryEvent("skipped " + (lastEvent + 1))) {
                return;
            }
            handle(event);
        }

        /** Reconnects to get an event once more; false if that was tried often enough. */
        private boolean retryEvent(String reason) {
            if (eventRetries >= MAX_EVENT_RETRIES) {
                return false;
            }
            eventRetries++;
            disconnected(reason);
            return true;
        }

        @Override
        public void disconnected(String reason) {
            if (closed) {
                return;
            }
            close();
            Log.warn("discovery.disconnected", "why", reason, "seen", lastEvent);
            if (this == current) {
                reconnectLater();
            }
        }

        void close() {
            closed = true;
            timers.cancel(silenceTimer);
            if (connection != null) {
                connection.close();
            }
        }
    }
}
