package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against a field of a request to a cache that is never written to the socket. */
class CacheRequestFieldsTest {
    private static String encode(
            String id, String key, String source, int rank, long maxAge, boolean[] flags, String tag, String body) {
        CacheRequest request = new CacheRequest(
                id,
                "menu-page",
                "7f3a",
                3,
                key,
                Buffer.buffer(body),
                source,
                rank,
                maxAge,
                flags[0],
                flags[1],
                flags[2],
                tag);
        return RequestWriteTest.written(request.encode("127.0.0.1:9001"), 900);
    }

    private static boolean[] flags(boolean coalesce, boolean onlyIfCached, boolean background) {
        return new boolean[] {coalesce, onlyIfCached, background};
    }

    @Test
    void writesEachFieldOfThePage() {
        boolean[] none = flags(false, false, false);
        Map<String, Map.Entry<String, String>> encodings = new HashMap<>();
        encodings.put("id", Map.entry("Request-Id: 9b1f\r\n", encode("9b1f", null, null, 0, 0, none, null, "")));
        encodings.put(
                "className",
                Map.entry("GET /o/menu-page/7f3a/3 HTTP/1.1\r\n", encode("9b1f", null, null, 0, 0, none, null, "")));
        encodings.put("object", encodings.get("className"));
        encodings.put("part", encodings.get("className"));
        encodings.put(
                "idempotencyKey",
                Map.entry("\r\nOnce-Key: key\r\n", encode("9b1f", "key", null, 0, 0, none, null, "")));
        encodings.put(
                "body",
                Map.entry("\r\nContent-Length: 4\r\n\r\nbody", encode("9b1f", null, null, 0, 0, none, null, "body")));
        encodings.put(
                "fillSource", Map.entry("\r\nX-Fill-From: s-1\r\n", encode("9b1f", null, "s-1", 0, 0, none, null, "")));
        encodings.put(
                "retentionRank", Map.entry("\r\nX-Keep: 2\r\n", encode("9b1f", null, null, 2, 0, none, null, "")));
        encodings.put(
                "maxAgeMs",
                Map.entry("\r\nX-Max-Age-Ms: 1500\r\n", encode("9b1f", null, null, 0, 1_500, none, null, "")));
        encodings.put(
                "coalesce",
                Map.entry(
                        "\r\nX-Flags: wait-for\r\n",
                        encode("9b1f", null, null, 0, 0, flags(true, false, false), null, "")));
        encodings.put(
                "onlyIfCached",
                Map.entry(
                        "\r\nX-Flags: no-fetch\r\n",
                        encode("9b1f", null, null, 0, 0, flags(false, true, false), null, "")));
        encodings.put(
                "refreshInBackground",
                Map.entry(
                        "\r\nX-Flags: background\r\n",
                        encode("9b1f", null, null, 0, 0, flags(false, false, true), null, "")));
        encodings.put(
                "knownTag", Map.entry("\r\nIf-None-Match: tag\r\n", encode("9b1f", null, null, 0, 0, none, "tag", "")));
        encodings.forEach((component, encoding) ->
                assertTrue(encoding.getValue().contains(encoding.getKey()), component + " in " + encoding.getValue()));
        Set<String> components = Arrays.stream(CacheRequest.class.getRecordComponents())
                .map(RecordComponent::getName)
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(components, new TreeSet<>(encodings.keySet()));
    }

    @Test
    void writesTheTimeoutAndNoFieldThatIsAbsent() {
        String plain = encode("9b1f", null, null, 0, 0, flags(false, false, false), null, "");
        assertTrue(plain.contains("\r\nTimeout-Ms: 900\r\n"), plain);
        for (String absent : Set.of("Once-Key", "X-Fill-From", "X-Keep", "X-Max-Age-Ms", "X-Flags", "If-None-Match")) {
            assertFalse(plain.contains(absent), plain);
        }
    }
}
