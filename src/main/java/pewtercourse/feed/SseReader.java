package pewtercourse.feed;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts server-sent events out of bytes; comments only show that the connection lives. */
final class SseReader {
    private static final int LINE_MOST = 4 << 20;
    private final RecordParser lines;
    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> event;

    SseReader(Consumer<String> event) {
        this.event = event;
        lines = RecordParser.newDelimited("\n", this::line).maxRecordSize(LINE_MOST);
    }

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
            data.append(data.isEmpty() ? "" : "\n").append(line.substring(line.startsWith("data: ") ? 6 : 5));
        }
    }
}
