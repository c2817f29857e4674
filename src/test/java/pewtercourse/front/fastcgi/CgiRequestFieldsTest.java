package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pewtercourse.front.ClientRequest;

/** Guards against a field of the protocol pages that clients send and the director drops. */
class CgiRequestFieldsTest {
    private static final Path PAGE = Path.of("docs/carried-fields.md");
    private static final Map<String, String> PARAMS = Map.of(
            "SCRIPT_NAME", "/ops/place-order",
            "HTTP_X_CORRELATION_ID", "9b1f03aa5c7e2d41",
            "HTTP_X_DEADLINE_MS", "1500",
            "HTTP_X_SUBJECT", "7f3a9c21e0b4d655");

    /** Another value for each parameter of the pages, and the component of the request that it has to change. */
    private static final Map<String, Map.Entry<String, String>> CHANGES = Map.of(
            "SCRIPT_NAME", Map.entry("/ops/menu-page", "className"),
            "HTTP_X_CORRELATION_ID", Map.entry("9b1f03aa5c7e2d42", "id"),
            "HTTP_X_DEADLINE_MS", Map.entry("1600", "deadlineMs"),
            "HTTP_X_RESENT", Map.entry("1", "clientRetry"),
            "HTTP_X_OPERATION_KEY", Map.entry("5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "idempotencyKey"),
            "HTTP_X_SUBJECT", Map.entry("7f3a9c21e0b4d656", "object"),
            "HTTP_X_CHUNK", Map.entry("3", "part"),
            "HTTP_X_TAG", Map.entry("17", "group"),
            "HTTP_X_NEED_KB", Map.entry("412.5", "sizeKb"),
            "HTTP_X_KNOWN", Map.entry("4be0c1927d55a6f3", "knownTag"));

    private static final Set<String> NOT_PARAMETERS = Set.of("body", "arrivedAtMicros");

    private static Map<String, Object> decode(Map<String, String> params) throws Exception {
        ClientRequest request = CgiRequest.decode(params, Buffer.buffer("two couscous"), 7);
        Map<String, Object> values = new HashMap<>();
        for (RecordComponent component : ClientRequest.class.getRecordComponents()) {
            values.put(component.getName(), component.getAccessor().invoke(request));
        }
        return values;
    }

    @Test
    void eachParameterChangesItsComponentOfTheRequestAndNoOther() throws Exception {
        Map<String, Object> before = decode(PARAMS);
        for (Map.Entry<String, Map.Entry<String, String>> change : CHANGES.entrySet()) {
            Map<String, String> params = new HashMap<>(PARAMS);
            params.put(change.getKey(), change.getValue().getKey());
            String component = change.getValue().getValue();
            Map<String, Object> after = decode(params);
            assertNotEquals(before.get(component), after.get(component), change.getKey() + " is dropped");
            after.put(component, before.get(component));
            assertEquals(before, after, change.getKey() + " changes another component");
        }
    }

    @Test
    void eachComponentOfTheRequestHasItsParameter() {
        Set<String> components = Arrays.stream(ClientRequest.class.getRecordComponents())
                .map(RecordComponent::getName)
                .collect(Collectors.toCollection(HashSet::new));
        components.removeAll(NOT_PARAMETERS);
        assertEquals(
                components, CHANGES.values().stream().map(Map.Entry::getValue).collect(Collectors.toSet()));
    }

    @Test
    void thePageListsEachParameter() throws Exception {
        String page = Files.readString(PAGE);
        for (String parameter : CHANGES.keySet()) {
            assertTrue(page.contains("`" + parameter + "`"), PAGE + " lacks " + parameter);
        }
    }
}
