package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Feeds the reader with responses that are cut at any byte: only complete ones count, and trailing bytes are
 * noticed.
 */
class ResponseReaderTest {
    private static final String BODY = "x".repeat(300);
    private static final String OK =
            "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n" + "ETag: t\r\nOutcome: mem\r\n\r\n" + BODY;
    private static final List<String> INTERIM_RESPONSES = List.of(
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    private static final List<String> TRAILING_BYTES =
            List.of("", OK, "noise that nobody asked for\r\n\r\n", "\0\1\2HTTP");

    private final ResponseReader reader = new ResponseReader();

    @Property(tries = 400, seed = "7")
    void servesACompleteResponseAfterInterimOnesAndNoticesTrailingBytes(
            @ForAll @IntRange(max = 2) int interimIndex,
            @ForAll @IntRange(max = 3) int trailingIndex,
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 120) Integer> pieceLengths) {
        ResponseReader pieceReader = new ResponseReader();
        pieceReader.expectResponseTo(request("1", null));
        String sent = INTERIM_RESPONSES.get(interimIndex) + OK + TRAILING_BYTES.get(trailingIndex);
        int completeLength = INTERIM_RESPONSES.get(interimIndex).length() + OK.length();
        CacheResponse complete = null;
        for (int i = 0, start = 0; start < sent.length(); i++) {
            int end = i < pieceLengths.size() ? Math.min(sent.length(), start + pieceLengths.get(i)) : sent.length();
            CacheResponse response = pieceReader.read(Buffer.buffer(sent.substring(start, end), "ISO-8859-1"));
            assertEquals(
                    start < completeLength && end >= completeLength,
                    response != null,
                    "the response is returned once, with its last byte");
            complete = response != null ? response : complete;
            if (response != null) {
                assertTrue(end == completeLength || !pieceReader.isReusable(), "trailing bytes were not noticed");
                break; // The connection closes on any further byte.
            }
            start = end;
        }
        assertNotNull(complete);
        assertEquals(AttemptResult.SERVED, complete.result());
        assertEquals(BODY, complete.body().toString());
        assertEquals("t", complete.tag());
    }

    private static CacheRequest request(String object, String knownTag) {
        return new CacheRequest("id", "c", object, 0, null, Buffer.buffer(), null, 0, 0, false, false, false, knownTag);
    }

    private CacheResponse read(String text) {
        reader.expectResponseTo(request("1", "abc"));
        return reader.read(Buffer.buffer(text, "ISO-8859-1"));
    }

    private void assertMalformed(String text) {
        CacheResponse response = read(text);
        assertNotNull(response, text);
        assertEquals(AttemptResult.MALFORMED, response.result());
        assertFalse(reader.isReusable());
    }

    @Example
    void rejectsNoiseInsteadOfAHead() {
        assertMalformed("\7\7noise noise\r\n\r\n");
    }

    @Example
    void rejectsAHeadWithALineThatIsNoField() {
        for (String line : List.of("no colon here", "no colon: here", ": nameless", " folded", "na(me: x")) {
            CacheResponse response = new ResponseReaderTest().read(OK.replace("ETag: t", "ETag: t\r\n" + line));
            assertEquals(AttemptResult.MALFORMED, response.result(), line);
        }
    }

    @Example
    void rejectsAHeadWithoutAnEnd() {
        assertMalformed("HTTP/1.1 200 OK\r\n" + "X-Filler: more and more\r\n".repeat(1_000));
    }

    @Example
    void rejectsTooManyInterimResponses() {
        assertMalformed("HTTP/1.1 102 Processing\r\n\r\n".repeat(100));
    }

    @Example
    void rejectsABodyLargerThanAnyObjectAtItsHead() {
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
    }

    @Example
    void rejectsANegativeLength() {
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n");
    }

    @Example
    void rejectsALengthThatIsNoNumber() {
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n");
    }

    @Example
    void rejectsTwoLengths() {
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello");
    }

    @Example
    void rejectsABodyThatOnlyTheEndOfItsConnectionEnds() {
        assertMalformed("HTTP/1.1 200 OK\r\nETag: t\r\n\r\nmenu");
    }

    @Example
    void rejectsChunksBeyondTheLargestObject() {
        assertMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(60));
    }

    @Example
    void joinsChunksUpToTheLastOne() {
        assertEquals(
                "menu",
                read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n")
                        .body()
                        .toString());
    }

    @Example
    void returnsNothingForAnIncompleteResponse() {
        assertNull(read(OK.substring(0, OK.length() - 1)));
    }

    @Example
    void acceptsNotModifiedOnlyForTheRequestedTag() {
        assertEquals(
                AttemptResult.NOT_MODIFIED,
                read("HTTP/1.1 304 Not Modified\r\nETag: abc\r\n\r\n").result());
        assertMalformed("HTTP/1.1 304 Not Modified\r\nETag: other\r\n\r\n");
    }

    @Example
    void rejectsASecondCopyAsTheResponseToTheNextRequest() {
        assertEquals(AttemptResult.SERVED, read(OK).result());
        assertEquals(AttemptResult.SERVED, read(OK).result(), "the same object may have the same response");
        reader.expectResponseTo(request("2", null));
        assertEquals(AttemptResult.MALFORMED, reader.read(Buffer.buffer(OK)).result());
    }

    @Example
    void doesNotReuseAConnectionThatTheResponseCloses() {
        assertEquals(
                AttemptResult.MISS,
                read("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                        .result());
        assertFalse(reader.isReusable());
    }
}
