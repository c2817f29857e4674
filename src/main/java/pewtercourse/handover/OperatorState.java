package pewtercourse.handover;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state that operators have set at this director and that the processes of an upgrade share. Processes of other
 * versions read its JSON, so its keys and version number must not change. Times are in Unix milliseconds.
 *
 * @param processId    the process that wrote the state
 * @param standby      whether clients are sent to other directors
 * @param drained      the time of each drain, by endpoint name
 * @param reinstated   the last start time of each endpoint that was drained and may serve again, by name
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
     * @throws IllegalArgumentException if a value is missing or invalid
     * @throws io.vertx.core.json.DecodeException if the text is not a JSON object
     */
    static OperatorState decode(String text) {
        JsonObject json = new JsonObject(text);
        if (!Integer.valueOf(VERSION).equals(json.getValue(VERSION_KEY))) {
            throw new IllegalArgumentException("version is " + json.getValue(VERSION_KEY) + "; expected " + VERSION);
        }
        if (!(json.getValue(PROCESS_ID_KEY) instanceof Number processId)
                || !(json.getValue(STANDBY_KEY) instanceof Boolean standby)) {
            throw new IllegalArgumentException(
                    "pid is missing or not a number, or standby is missing or not a boolean");
        }
        return new OperatorState(processId.longValue(), standby, times(json, DRAINED_KEY), times(json, REINSTATED_KEY));
    }

    private static Map<String, Long> times(JsonObject json, String key) {
        if (!(json.getValue(key) instanceof JsonObject byName) || byName.size() > MAX_NAMES) {
            throw new IllegalArgumentException(
                    key + " is missing, not an object or has more than " + MAX_NAMES + " names");
        }
        Map<String, Long> times = new TreeMap<>();
        for (String name : byName.fieldNames()) {
            times.put(name, time(key, name, byName.getValue(name)));
        }
        return times;
    }

    private static long time(String key, String name, Object value) {
        boolean isValidName = !name.isEmpty() && name.length() <= MAX_NAME_CHARACTERS;
        if (!isValidName || !(value instanceof Number time) || time.longValue() < 0) {
            throw new IllegalArgumentException(key + "." + name + ": expected a name of 1 to " + MAX_NAME_CHARACTERS
                    + " characters and a time that is not negative");
        }
        return time.longValue();
    }
}
