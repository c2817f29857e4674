package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import pewtercourse.decision.EndpointLifecycle;

class FeedTest {
    private static final String STREAM = ": here\n\nid: 41\ndata: {\"n\":41}\n\n: here\r\n\r\nid: 42\r\n"
            + "data:{\"n\":42,\r\ndata: \"purge\":{}}\r\n\r\nid: 43\n\n";

    @Property(seed = "7")
    void eventsAreWholeWhereverTheBytesWereSplit(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 30) Integer> cuts) {
        List<String> events = new ArrayList<>();
        SseReader reader = new SseReader(events::add);
        int at = 0;
        for (int cut : cuts) {
            int to = Math.min(STREAM.length(), at + cut);
            reader.add(Buffer.buffer(STREAM.substring(at, to)));
            at = to;
        }
        reader.add(Buffer.buffer(STREAM.substring(at)));
        assertEquals(List.of("{\"n\":41}", "{\"n\":42,\n\"purge\":{}}"), events);
    }

    @Example
    void idsHaveTheSameNumberAtEveryDirector() {
        assertEquals(0x00c41f7aL, FeedEvent.number("s-00c41f7a"));
        assertEquals(0xb91d3ae5L, FeedEvent.number("s-B91D3AE5"));
    }

    @Example
    void anEventBecomesASmallValue() {
        FeedEvent.Members m = assertInstanceOf(FeedEvent.Members.class, FeedEvent.decode(new JsonObject("""
                {"n":41,"members":{"seq":7,"whole":false,"hosts":[{"host":"s-00c41f7a","dial":"10.1.0.9:8443",
                "site":"east","class":"std","block":2,"health":"Terminating","share":4,"born_ms":12}]}}""")));
        FeedEvent.Host h = m.hosts().get(0);
        assertEquals(EndpointLifecycle.DRAINING, h.state());
        assertEquals(8443, h.address().getPort());
        assertEquals(12, h.startedMs());
        FeedEvent.Purge p = assertInstanceOf(
                FeedEvent.Purge.class,
                FeedEvent.decode(new JsonObject("{\"n\":43,\"purge\":{\"group\":17,\"at\":1764576000480}}")));
        assertNull(p.object());
        assertEquals(17, p.group());
        assertEquals(
                9, FeedEvent.decode(new JsonObject("{\"n\":9,\"news\":{}}")).number());
        assertThrows(RuntimeException.class, () -> FeedEvent.decode(new JsonObject("{}")));
    }
}
