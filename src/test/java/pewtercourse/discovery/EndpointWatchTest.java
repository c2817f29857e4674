package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Tests a watch on a feed that sends incomplete, duplicate or malformed events, skips events, disconnects and moves.
 */
class EndpointWatchTest {
    private static final int DIRECTORS = 100;

    @Property(tries = 500, seed = "7")
    void handlesEachEventOnceAndInOrder(@ForAll("chains") ActionChain<WatchedFeed> chain) {
        WatchedFeed feed = chain.withInvariant(WatchedFeed::checkInvariants).run();

        int handledBefore = feed.handled.size();
        while (feed.lastConnection().closed) {
            feed.fireLastTimer();
        }
        WatchedFeed.FeedConnection last = feed.lastConnection();
        last.lastSent = Math.min(last.lastSent, handledBefore);
        while (last.lastSent <= handledBefore) {
            feed.send(feed.openConnections() - 1, WatchedFeed.Sending.COMPLETE);
        }

        assertEquals(handledBefore + 1, feed.handled.size(), "an event that was sent is missing");
    }

    @Provide
    Arbitrary<ActionChain<WatchedFeed>> chains() {
        Arbitrary<Integer> index = Arbitraries.integers().between(0, 20);
        Arbitrary<WatchedFeed.Sending> disturbedSending = Arbitraries.of(
                WatchedFeed.Sending.DUPLICATE,
                WatchedFeed.Sending.PARTIAL,
                WatchedFeed.Sending.COMMENT,
                WatchedFeed.Sending.DISCONNECT);
        // Malformed and missing events are rare here because the watch skips the event after three retries.
        return ActionChain.startWith(WatchedFeed::new)
                .withAction(8, step(index.map(i -> sending(i, WatchedFeed.Sending.COMPLETE))))
                .withAction(6, step(index.flatMap(i -> disturbedSending.map(sending -> sending(i, sending)))))
                .withAction(1, step(index.map(EndpointWatchTest::malformedThenComplete)))
                .withAction(3, step(index.map(i -> Transformer.mutate("timer " + i, feed -> feed.fireTimer(i)))))
                .withAction(1, step(index.map(i -> Transformer.mutate("move", WatchedFeed::move))))
                .withMaxTransformations(60);
    }

    private static Transformer<WatchedFeed> sending(int connection, WatchedFeed.Sending sending) {
        return Transformer.mutate(sending + " " + connection, feed -> feed.send(connection, sending));
    }

    private static Transformer<WatchedFeed> malformedThenComplete(int connection) {
        WatchedFeed.Sending first = connection % 2 > 0 ? WatchedFeed.Sending.MALFORMED : WatchedFeed.Sending.GAP;
        return Transformer.mutate(first + ", then complete", feed -> {
            feed.send(connection, first);
            feed.fireLastTimer();
            feed.send(feed.connections.size(), WatchedFeed.Sending.COMPLETE);
        });
    }

    private static Action.Independent<WatchedFeed> step(Arbitrary<Transformer<WatchedFeed>> transformers) {
        return () -> transformers;
    }

    @Example
    void readsTheOldConnectionUntilTheNewOneIsEstablishedAfterAMove() {
        WatchedFeed feed = new WatchedFeed();
        feed.send(0, WatchedFeed.Sending.COMPLETE);

        feed.move();
        assertEquals(1, feed.connections.get(1).lastSent);

        feed.send(0, WatchedFeed.Sending.COMPLETE);
        assertFalse(feed.connections.get(0).closed, "closed before the new connection was established");
        feed.send(1, WatchedFeed.Sending.COMPLETE);
        assertTrue(feed.connections.get(0).closed);
        assertEquals(List.of(1L, 2L), feed.handled);
    }

    /** Directors that lose the feed together must draw different delays, and short ones again after an event. */
    @Example
    void disconnectedDirectorsReconnectAtDifferentTimes() {
        Map<Long, Integer> directorsByFirstDelay = new TreeMap<>();
        for (int director = 0; director < DIRECTORS; director++) {
            WatchedFeed feed = new WatchedFeed(director);
            feed.send(0, WatchedFeed.Sending.COMPLETE);
            directorsByFirstDelay.merge(disconnectRepeatedly(feed), 1, Integer::sum);

            feed.send(0, WatchedFeed.Sending.COMPLETE);
            assertTrue(feed.delayAfterDisconnect() <= 150, "the delay was not reset by an event");
        }
        assertTrue(directorsByFirstDelay.size() > 30, directorsByFirstDelay.size() + " different delays only");
        assertTrue(
                directorsByFirstDelay.values().stream().allMatch(directors -> directors < 10),
                "too many directors with the same delay: " + directorsByFirstDelay);
    }

    /** Checks the bounds of twenty delays and returns the first. */
    private static long disconnectRepeatedly(WatchedFeed feed) {
        long firstDelay = 0;
        for (int i = 0; i < 20; i++) {
            long delay = feed.delayAfterDisconnect();
            assertTrue(delay >= 50 && delay <= 500, "the delay is " + delay);
            if (i == 0) {
                firstDelay = delay;
                assertTrue(delay <= 150, "the first delay is " + delay);
            }
            feed.fireLastTimer();
        }
        return firstDelay;
    }

    @Example
    void skipsAnEventThatStaysMalformedAfterTheRetries() {
        WatchedFeed feed = new WatchedFeed();

        for (int i = 0; i < 3; i++) {
            feed.send(0, WatchedFeed.Sending.MALFORMED);
            assertEquals(i + 1, feed.connections.size() - feed.openConnections(), "not requested again");
            feed.fireTimer(0);
        }
        feed.send(0, WatchedFeed.Sending.MALFORMED);
        feed.send(0, WatchedFeed.Sending.GAP);

        assertEquals(List.of(2L), feed.handled);
    }

    @Example
    void disconnectsWhenAnEventExceedsTheSizeLimit() {
        WatchedFeed feed = new WatchedFeed();
        WatchedFeed.FeedConnection connection = feed.connections.get(0);

        for (int i = 0; i < 40 && !connection.closed; i++) {
            connection.listener.received(Buffer.buffer("data: " + "x".repeat(32_000) + "\n"));
        }

        assertTrue(connection.closed);
    }

    // The feed's bytes have arrived while the event loop was behind, and are unread when the silence timer fires.
    @Example
    void doesNotTakeAFeedWithUnreadEventsForSilent() {
        WatchedFeed feed = new WatchedFeed();
        feed.send(0, WatchedFeed.Sending.COMPLETE);
        feed.onReadArrived = () -> feed.send(0, WatchedFeed.Sending.COMMENT);
        feed.fireLastTimer();
        assertEquals(1, feed.connections.size());
        assertEquals(1, feed.openConnections());
    }
}
