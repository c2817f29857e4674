package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into the data of its events. Comments and fields
 * other than {@code data} are skipped: the event's number is part of its data. Not thread-safe.
 */
final class ServerSentEventReader {
    // Limits the memory for an event without an end; a list of endpoints has a few kilobytes.
    private static final int MAX_EVENT_CHARACTERS = 1 << 20;
    private static final String DATA_FIELD = "data:";
    private static final String CARRIAGE_RETURN = "\r";

    private final RecordParser lines;
    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> eventHandler;

    /** {@code eventHandler} receives the data of each complete event. */
    ServerSentEventReader(Consumer<String> eventHandler) {
        this.eventHandler = eventHandler;
        lines = RecordParser.newDelimited("\n", this::readLine).maxRecordSize(MAX_EVENT_CHARACTERS);
    }

    /**
     * Reads the next bytes, which may end anywhere in an event.
     *
     * @throws IllegalStateException if a line or an event is too long
     */
    void read(Buffer bytes) {
        lines.handle(bytes);
    }

    private void readLine(Buffer bytes) {
        String line = bytes.toString();
        if (line.endsWith(CARRIAGE_RETURN)) {
            line = line.substring(0, line.length() - 1);
        }
        if (line.isEmpty()) {
            dispatchEvent();
        } else if (line.startsWith(DATA_FIELD)) {
            addData(line);
        }
    }

    private void addData(String line) {
        if (data.length() + line.length() > MAX_EVENT_CHARACTERS) {
            throw new IllegalStateException("an event is longer than " + MAX_EVENT_CHARACTERS + " characters");
        }
        if (!data.isEmpty()) {
            data.append('\n');
        }
        String value = line.substring(DATA_FIELD.length());
        data.append(value.startsWith(" ") ? value.substring(1) : value);
    }

    private void dispatchEvent() {
        if (data.isEmpty()) {
            return;
        }
        String event = data.toString();
        data.setLength(0);
        eventHandler.accept(event);
    }
}
