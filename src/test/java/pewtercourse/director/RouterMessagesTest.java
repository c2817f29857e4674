package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.DeduplicationScope;
import pewtercourse.decision.Idempotency;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.SendAttempt;
import pewtercourse.front.ClientRequest;

/** Guards against a fact that the routing engine decides on, or orders, and that no socket carries. */
class RouterMessagesTest {
    private static final Path PAGE = Path.of("docs/carried-fields.md");
    private static final SendAttempt SEND = new SendAttempt(7, 1, 80_000, 1, 0, 0, false, false, false);
    private static final Buffer NO_BODY = Buffer.buffer();

    private static ClientRequest request(
            String className, String object, int part, String knownTag, String key, boolean retry, Buffer body) {
        return new ClientRequest(
                "9b1f03aa5c7e2d41", className, object, part, 0, 10, knownTag, key, retry, body, 0, 1_500);
    }

    private static ClientRequest plainRequest() {
        return request("menu-page", "7f3a", 0, null, null, false, NO_BODY);
    }

    private static ClientRequest requestOfGroup(int group, double sizeKb) {
        return new ClientRequest(
                "9b1f03aa5c7e2d41", "menu-page", "7f3a", 0, group, sizeKb, null, null, false, NO_BODY, 0, 1_500);
    }

    private static RequestArrived arrival(
            ClientRequest request, long id, int classIndex, boolean uncacheable, long until) {
        RequestClass requestClass =
                new RequestClass(Idempotency.SAFE, DeduplicationScope.ALL, 0, 1, 0, 1, false, 0, false, uncacheable);
        return RouterMessages.toArrival(request, id, classIndex, requestClass, until);
    }

    private static RequestArrived arrivalOf(ClientRequest request) {
        return arrival(request, 1, 0, false, 9);
    }

    private static CacheRequest cacheRequest(ClientRequest request, SendAttempt send, String source, int rank) {
        return RouterMessages.toCacheRequest(request, send, source, rank);
    }

    private static AttemptFinished finished(
            SendAttempt send, int number, AttemptResult result, String outcome, long latency, boolean done) {
        return RouterMessages.toAttemptFinished(
                send, number, new CacheResponse(result, null, null, outcome), latency, done);
    }

    private static Map<String, Object> values(Record message) throws Exception {
        Map<String, Object> values = new LinkedHashMap<>();
        for (RecordComponent component : message.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            values.put(component.getName(), component.getAccessor().invoke(message));
        }
        return values;
    }

    /** Checks that each component of the message is changed by the variant with its name. */
    private static void assertEachComponentIsCarried(Record message, Map<String, ? extends Record> variants)
            throws Exception {
        Map<String, Object> before = values(message);
        assertEquals(
                new TreeSet<>(before.keySet()), new TreeSet<>(variants.keySet()), "one variant for each component");
        String page = Files.readString(PAGE);
        for (Map.Entry<String, ? extends Record> variant : variants.entrySet()) {
            String name = variant.getKey();
            assertNotEquals(before.get(name), values(variant.getValue()).get(name), name + " is not carried");
            String listed = "`" + message.getClass().getSimpleName() + "." + name + "`";
            assertTrue(page.contains(listed), PAGE + " lacks " + listed);
        }
    }

    @Test
    void eachFactOfARequestThatTheRouterDecidesOnIsCarried() throws Exception {
        ClientRequest plain = plainRequest();
        Map<String, RequestArrived> variants = new HashMap<>();
        variants.put("requestId", arrival(plain, 2, 0, false, 9));
        variants.put("requestClass", arrival(plain, 1, 1, false, 9));
        variants.put("object", arrivalOf(request("menu-page", "7f3b", 0, null, null, false, NO_BODY)));
        variants.put("segment", arrivalOf(request("menu-page", "7f3a", 3, null, null, false, NO_BODY)));
        variants.put("purgeGroup", arrivalOf(requestOfGroup(17, 10)));
        variants.put("sizeKb", arrivalOf(requestOfGroup(0, 11)));
        variants.put("expiresAt", arrival(plain, 1, 0, false, 10));
        variants.put("clientRetry", arrivalOf(request("menu-page", "7f3a", 0, null, null, true, NO_BODY)));
        variants.put("idempotencyKey", arrivalOf(request("menu-page", "7f3a", 0, null, "key", false, NO_BODY)));
        variants.put("write", arrival(plain, 1, 0, true, 9));
        assertEachComponentIsCarried(arrivalOf(plain), variants);
    }

    @Test
    void eachFieldOfARequestToACacheIsCarried() throws Exception {
        ClientRequest plain = plainRequest();
        Map<String, CacheRequest> variants = new HashMap<>();
        variants.put(
                "id",
                cacheRequest(
                        new ClientRequest("9b1f", "menu-page", "7f3a", 0, 0, 10, null, null, false, NO_BODY, 0, 1_500),
                        SEND,
                        null,
                        0));
        variants.put("className", ofRequest(request("menu-media", "7f3a", 0, null, null, false, NO_BODY)));
        variants.put("object", ofRequest(request("menu-page", "7f3b", 0, null, null, false, NO_BODY)));
        variants.put("part", ofRequest(request("menu-page", "7f3a", 3, null, null, false, NO_BODY)));
        variants.put("idempotencyKey", ofRequest(request("menu-page", "7f3a", 0, null, "key", false, NO_BODY)));
        variants.put("body", ofRequest(request("menu-page", "7f3a", 0, null, null, false, Buffer.buffer("x"))));
        variants.put("knownTag", ofRequest(request("menu-page", "7f3a", 0, "tag", null, false, NO_BODY)));
        variants.put("fillSource", cacheRequest(plain, SEND, "s-1", 0));
        variants.put("retentionRank", cacheRequest(plain, SEND, null, 2));
        variants.put("maxAgeMs", ofSend(new SendAttempt(7, 1, 80_000, 1, 0, 1_500_000, false, false, false)));
        variants.put("coalesce", ofSend(new SendAttempt(7, 1, 80_000, 1, 0, 0, true, false, false)));
        variants.put("onlyIfCached", ofSend(new SendAttempt(7, 1, 80_000, 1, 0, 0, false, true, false)));
        variants.put("refreshInBackground", ofSend(new SendAttempt(7, 1, 80_000, 1, 0, 0, false, false, true)));
        assertEachComponentIsCarried(ofSend(SEND), variants);
    }

    private static CacheRequest ofRequest(ClientRequest request) {
        return cacheRequest(request, SEND, null, 0);
    }

    private static CacheRequest ofSend(SendAttempt send) {
        return cacheRequest(plainRequest(), send, null, 0);
    }

    @Test
    void eachFactOfAnAttemptsEndIsCarried() throws Exception {
        Map<String, AttemptFinished> variants = new HashMap<>();
        SendAttempt otherRequest = new SendAttempt(8, 1, 80_000, 1, 0, 0, false, false, false);
        SendAttempt otherCache = new SendAttempt(7, 2, 80_000, 1, 0, 0, false, false, false);
        variants.put("requestId", finished(otherRequest, 0, AttemptResult.SERVED, "mem", 5, false));
        variants.put("attempt", finished(SEND, 1, AttemptResult.SERVED, "mem", 5, false));
        variants.put("endpointId", finished(otherCache, 0, AttemptResult.SERVED, "mem", 5, false));
        variants.put("outcome", finished(SEND, 0, AttemptResult.RESET, "mem", 5, false));
        variants.put("latency", finished(SEND, 0, AttemptResult.SERVED, "mem", 6, false));
        variants.put("requestDone", finished(SEND, 0, AttemptResult.SERVED, "mem", 5, true));
        variants.put("cacheStatus", finished(SEND, 0, AttemptResult.SERVED, "parent", 5, false));
        variants.put("bodyTransferred", finished(SEND, 0, AttemptResult.NOT_MODIFIED, "mem", 5, false));
        assertEachComponentIsCarried(finished(SEND, 0, AttemptResult.SERVED, "mem", 5, false), variants);
    }

    // The endpoint and its time-out are carried by the attempt itself.
    @Test
    void thePageListsEachPartOfAnOrder() throws Exception {
        Set<String> parts = Arrays.stream(SendAttempt.class.getRecordComponents())
                .map(component -> "`SendAttempt." + component.getName() + "`")
                .collect(Collectors.toSet());
        String page = Files.readString(PAGE);
        assertEquals(
                Set.of(), parts.stream().filter(part -> !page.contains(part)).collect(Collectors.toSet()));
    }
}
