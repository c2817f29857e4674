package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;

/** How an attempt ended, with the bytes, their tag and the note of where they came from, if there are any. */
public record CacheAnswer(AttemptResult end, Buffer body, String tag, String outcome) {
    public static CacheAnswer of(AttemptResult end) {
        return new CacheAnswer(end, null, null, null);
    }

    /** The one place where a status is read. */
    static CacheAnswer decode(int status, boolean neverRan, String length, Buffer body, String tag, String outcome) {
        AttemptResult end = switch (status) {
            case 200 -> length != null && !length.equals(String.valueOf(body.length())) ? AttemptResult.MALFORMED : AttemptResult.SERVED;
            case 304 -> AttemptResult.NOT_MODIFIED;
            case 404 -> AttemptResult.MISS;
            case 503 -> neverRan ? AttemptResult.FULL : AttemptResult.ERROR;
            case 504 -> neverRan ? AttemptResult.EXPIRED : AttemptResult.ERROR;
            default -> AttemptResult.ERROR;
        };
        return new CacheAnswer(end, end == AttemptResult.SERVED ? body : null, tag, outcome);
    }
}
