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

/** What caches send, cut anywhere: only a whole answer counts, and what follows it is noticed. */
class ResponseReaderTest {
    private static final String BODY = "x".repeat(300),
            OK = "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n" + "ETag: t\r\nOutcome: mem\r\n\r\n" + BODY;
    private static final List<String> BEFORE = List.of(
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    private static final List<String> BEHIND = List.of("", OK, "noise that nobody asked for\r\n\r\n", "\0\1\2HTTP");

    private final ResponseReader reader = new ResponseReader();

    @Property(tries = 400, seed = "7")
    void aGoodAnswerIsServedWhateverCameBeforeAndWhatFollowsEndsTheConnection(
            @ForAll @IntRange(max = 2) int before,
            @ForAll @IntRange(max = 3) int behind,
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 120) Integer> cuts) {
        ResponseReader r = new ResponseReader();
        r.expect(request("1", null));
        String all = BEFORE.get(before) + OK + BEHIND.get(behind);
        int whole = BEFORE.get(before).length() + OK.length();
        CacheResponse got = null;
        for (int i = 0, at = 0; at < all.length(); i++) {
            int to = i < cuts.size() ? Math.min(all.length(), at + cuts.get(i)) : all.length();
            CacheResponse a = r.add(Buffer.buffer(all.substring(at, to), "ISO-8859-1"));
            assertEquals(at < whole && to >= whole, a != null, "told at its last byte, once");
            got = a != null ? a : got;
            if (a != null) {
                assertTrue(to == whole || !r.clean(), "what follows went unnoticed");
                break; // From here on the connection closes on any byte.
            }
            at = to;
        }
        assertNotNull(got);
        assertEquals(AttemptResult.SERVED, got.end());
        assertEquals(BODY, got.body().toString());
        assertEquals("t", got.tag());
    }

    private static CacheRequest request(String object, String known) {
        return new CacheRequest("id", "c", object, 0, Buffer.buffer(), null, 0, 0, false, false, false, known);
    }

    private CacheResponse answer(String text) {
        reader.expect(request("1", "abc"));
        return reader.add(Buffer.buffer(text, "ISO-8859-1"));
    }

    private void broken(String text) {
        CacheResponse a = answer(text);
        assertNotNull(a, text);
        assertEquals(AttemptResult.MALFORMED, a.end());
        assertFalse(reader.clean());
    }

    @Example
    void noiseForAHeadIsNoAnswer() {
        broken("\7\7noise noise\r\n\r\n");
    }

    @Example
    void aHeadWithALineThatIsNoFieldIsNoAnswer() {
        for (String line : List.of("no colon here", "no colon: here", ": nameless", " folded", "na(me: x")) {
            CacheResponse a = new ResponseReaderTest().answer(OK.replace("ETag: t", "ETag: t\r\n" + line));
            assertEquals(AttemptResult.MALFORMED, a.end(), line);
        }
    }

    @Example
    void aHeadThatNeverEndsIsGivenUp() {
        broken("HTTP/1.1 200 OK\r\n" + "X-Filler: more and more\r\n".repeat(1_000));
    }

    @Example
    void interimAnswersWithoutEndAreGivenUp() {
        broken("HTTP/1.1 102 Processing\r\n\r\n".repeat(100));
    }

    @Example
    void anAnswerLargerThanAnyObjectIsGivenUpAtItsHead() {
        broken("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
    }

    @Example
    void aNegativeLengthIsGivenUp() {
        broken("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n");
    }

    @Example
    void aLengthThatIsNoNumberIsGivenUp() {
        broken("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n");
    }

    @Example
    void twoLengthsAreGivenUp() {
        broken("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello");
    }

    @Example
    void aBodyThatOnlyTheEndOfItsConnectionWouldEndIsNeverWhole() {
        broken("HTTP/1.1 200 OK\r\nETag: t\r\n\r\nmenu");
    }

    @Example
    void chunksWithoutEndAreGivenUpPastTheLargestObject() {
        broken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(60));
    }

    @Example
    void chunksWithAnEndAreWhole() {
        assertEquals(
                "menu",
                answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n")
                        .body()
                        .toString());
    }

    @Example
    void whatStopsShortIsNotToldAtAll() {
        assertNull(answer(OK.substring(0, OK.length() - 1)));
    }

    @Example
    void onlyTheCopyThatWasAskedAboutCanHold() {
        assertEquals(
                AttemptResult.NOT_MODIFIED,
                answer("HTTP/1.1 304 Not Modified\r\nETag: abc\r\n\r\n").end());
        broken("HTTP/1.1 304 Not Modified\r\nETag: other\r\n\r\n");
    }

    @Example
    void aLateSecondCopyIsNotTheAnswerToTheNextRequest() {
        assertEquals(AttemptResult.SERVED, answer(OK).end());
        assertEquals(AttemptResult.SERVED, answer(OK).end(), "the same object may well have the same answer");
        reader.expect(request("2", null));
        assertEquals(AttemptResult.MALFORMED, reader.add(Buffer.buffer(OK)).end());
    }

    @Example
    void anAnswerThatSaysItIsTheLastEndsTheConnection() {
        assertEquals(
                AttemptResult.MISS,
                answer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                        .end());
        assertFalse(reader.clean());
    }
}
