package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts server-sent events out of bytes; comments only show that the connection lives. */
final class SseReader {
    // A list of caches is a few kilobytes: what never ends must not fill the memory.
    private static final int EVENT_MOST = 1 << 20;
    private final RecordParser lines;
    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> event;

    SseReader(Consumer<String> event) {
        this.event = event;
        lines = RecordParser.newDelimited("\n", this::line).maxRecordSize(EVENT_MOST);
    }

    /** Throws IllegalStateException on a line or an event that is too long. */
    void add(Buffer bytes) {
        lines.handle(bytes);
    }

    private void line(Buffer bytes) {
        String line = bytes.toString();
        line = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        if (line.isEmpty()) {
            if (!data.isEmpty()) {
                String whole = data.toString();
                data.setLength(0);
                event.accept(whole);
            }
        } else if (line.startsWith("data:")) {
            if (data.length() + line.length() > EVENT_MOST) {
                throw new IllegalStateException("an event over " + EVENT_MOST + " bytes");
            }
            data.append(data.isEmpty() ? "" : "\n").append(line.substring(line.startsWith("data: ") ? 6 : 5));
        }
    }
}
