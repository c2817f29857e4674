package pewtercourse.handover;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators told this director, as the processes of an upgrade share it. {@code pid}: who wrote it. {@code out}:
 * members out by hand and since when; {@code back}: those that came back, and their start. Unix milliseconds.
 */
public record OperatorState(long pid, boolean standby, Map<String, Long> out, Map<String, Long> back) {
    private static final int VERSION = 1, NAMES_MOST = 2_048, NAME_MOST = 256;

    String encode() {
        return new JsonObject()
                .put("version", VERSION)
                .put("pid", pid)
                .put("standby", standby)
                .put("out", new JsonObject(new TreeMap<>(out)))
                .put("back", new JsonObject(new TreeMap<>(back)))
                .encode();
    }

    /** Throws a RuntimeException, which says why, on what can't be used whole. */
    static OperatorState decode(String text) {
        JsonObject json = new JsonObject(text);
        if (!Integer.valueOf(VERSION).equals(json.getValue("version"))) {
            throw new IllegalArgumentException("version " + json.getValue("version") + " is not " + VERSION);
        }
        if (!(json.getValue("pid") instanceof Number pid) || !(json.getValue("standby") instanceof Boolean standby)) {
            throw new IllegalArgumentException("pid or standby is missing");
        }
        return new OperatorState(pid.longValue(), standby, times(json, "out"), times(json, "back"));
    }

    private static Map<String, Long> times(JsonObject json, String key) {
        Map<String, Long> times = new TreeMap<>();
        JsonObject o = json.getValue(key) instanceof JsonObject given ? given : null;
        if (o == null || o.size() > NAMES_MOST) {
            throw new IllegalArgumentException(key + " is missing or too long");
        }
        for (String name : o.fieldNames()) {
            if (name.isEmpty()
                    || name.length() > NAME_MOST
                    || !(o.getValue(name) instanceof Number at)
                    || at.longValue() < 0) {
                throw new IllegalArgumentException(key + "." + name + " is no time");
            }
            times.put(name, at.longValue());
        }
        return times;
    }
}
