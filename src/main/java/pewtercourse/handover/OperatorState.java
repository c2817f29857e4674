package pewtercourse.handover;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators have told this director, as the processes of an upgrade share it. Its JSON is read by processes of other
 * versions: its keys and the version number stay as they are. Times are in Unix milliseconds.
 *
 * @param processId    the process that wrote it
 * @param standby      whether clients are sent to other directors
 * @param drained      endpoints that are drained, by name, and since when
 * @param reinstated   endpoints that were drained and may serve again, by name, and when they started last
 */
public record OperatorState(long processId, boolean standby, Map<String, Long> drained, Map<String, Long> reinstated) {
    private static final int VERSION = 1;
    private static final int MAX_NAMES = 2_048;
    private static final int MAX_NAME_CHARACTERS = 256;

    private static final String VERSION_KEY = "version";
    private static final String PROCESS_ID_KEY = "pid";
    private static final String STANDBY_KEY = "standby";
    private static final String DRAINED_KEY = "out";
    private static final String REINSTATED_KEY = "back";

    String encode() {
        return new JsonObject()
                .put(VERSION_KEY, VERSION)
                .put(PROCESS_ID_KEY, processId)
                .put(STANDBY_KEY, standby)
                .put(DRAINED_KEY, new JsonObject(new TreeMap<>(drained)))
                .put(REINSTATED_KEY, new JsonObject(new TreeMap<>(reinstated)))
                .encode();
    }

    /**
     * Reads the text of a state file.
     *
     * @throws IllegalArgumentException if a value is missing or can't be used
     * @throws io.vertx.core.json.DecodeException if the text is no JSON object
     */
    static OperatorState decode(String text) {
        JsonObject json = new JsonObject(text);
        if (!Integer.valueOf(VERSION).equals(json.getValue(VERSION_KEY))) {
            throw new IllegalArgumentException("version " + json.getValue(VERSION_KEY) + " is not " + VERSION);
        }
        if (!(json.getValue(PROCESS_ID_KEY) instanceof Number processId)
                || !(json.getValue(STANDBY_KEY) instanceof Boolean standby)) {
            throw new IllegalArgumentException("pid or standby is missing");
        }
        return new OperatorState(processId.longValue(), standby, times(json, DRAINED_KEY), times(json, REINSTATED_KEY));
    }

    private static Map<String, Long> times(JsonObject json, String key) {
        if (!(json.getValue(key) instanceof JsonObject byName) || byName.size() > MAX_NAMES) {
            throw new IllegalArgumentException(key + " is missing or too long");
        }
        Map<String, Long> times = new TreeMap<>();
        for (String name : byName.fieldNames()) {
            times.put(name, time(key, name, byName.getValue(name)));
        }
        return times;
    }

    private static long time(String key, String name, Object value) {
        boolean usableName = !name.isEmpty() && name.length() <= MAX_NAME_CHARACTERS;
        if (!usableName || !(value instanceof Number time) || time.longValue() < 0) {
            throw new IllegalArgumentException(key + "." + name + " is no time");
        }
        return time.longValue();
    }
}
