package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pewtercourse.Log;
import pewtercourse.Timers;

/**
 * Watches the control feed. It reads events until the connection ends or is silent for too long, then reconnects with
 * backoff and requests the events after the last one. Each event is handled once and in order: an event that was
 * handled before is skipped, and a missing event is requested again. When the feed moves to another address, events
 * are read from the old connection until the new one is established.
 *
 * <p>Runs on the thread of its caller, its transport and its timers, which must be the same; not thread-safe.
 */
public final class EndpointWatch {
    private static final long SILENCE_TIMEOUT_MS = 2_500;
    private static final int MAX_LOGGED_CHARACTERS = 200;
    // How often a malformed or missing event is requested again before it is skipped, so that an event that stays
    // malformed does not block all later events.
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
    // Read until the stream from the new address of the feed is established; null if there is none.
    private Stream previous;

    /**
     * Creates a watch without starting it.
     *
     * @param lastEvent the number of the last known event; the watch requests the events after it
     * @param random    draws the delays before reconnecting
     * @param handler   receives each event once, in the order of their numbers
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

    /** Moves the watch to another address of the feed, where the events have the same numbers. */
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

    /** Reads the events of one connection. */
    private final class Stream implements WatchTransport.Listener {
        private final ServerSentEventReader reader = new ServerSentEventReader(this::read);
        private WatchTransport.Connection connection;
        private long silenceTimer = NO_TIMER;
        private boolean closed;
        private int receptions;

        void open() {
            restartSilenceTimer();
            connection = transport.open(address, lastEvent, this);
            if (closed) {
                connection.close(); // The connection failed before open() returned it.
            }
        }

        private void restartSilenceTimer() {
            timers.cancel(silenceTimer);
            int receivedBefore = receptions;
            silenceTimer = timers.set(
                    SILENCE_TIMEOUT_MS,
                    () -> timers.afterReads(() -> {
                        if (receptions == receivedBefore) {
                            disconnected("silent");
                        }
                    }));
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
            receptions++;
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
                String excerpt = data.substring(0, Math.min(MAX_LOGGED_CHARACTERS, data.length()));
                Log.warn("discovery.malformed", "event", excerpt, "error", e.getCause());
                retryEvent("malformed");
                return;
            }
            boolean isDuplicate = event.number() <= lastEvent;
            boolean isAfterGap = event.number() > lastEvent + 1;
            if (isDuplicate || isAfterGap && retryEvent("skipped " + (lastEvent + 1))) {
                return;
            }
            handle(event);
        }

        /** Reconnects to request an event again; returns false if the limit of retries is reached. */
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
