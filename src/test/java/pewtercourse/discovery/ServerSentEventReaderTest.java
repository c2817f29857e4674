package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class ServerSentEventReaderTest {
    private static final String STREAM = ": here\n\nid: 41\ndata: {\"n\":41}\n\n: here\r\n\r\nid: 42\r\n"
            + "data:{\"n\":42,\r\ndata: \"purge\":{}}\r\n\r\nid: 43\n\n";

    @Property(seed = "7")
    void readsCompleteEventsWhereverTheBytesAreSplit(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 30) Integer> lengths) {
        List<String> events = new ArrayList<>();
        ServerSentEventReader reader = new ServerSentEventReader(events::add);

        int start = 0;
        for (int length : lengths) {
            int end = Math.min(STREAM.length(), start + length);
            reader.read(Buffer.buffer(STREAM.substring(start, end)));
            start = end;
        }
        reader.read(Buffer.buffer(STREAM.substring(start)));

        assertEquals(List.of("{\"n\":41}", "{\"n\":42,\n\"purge\":{}}"), events);
    }
}
