package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;

/** How an attempt ended, with the bytes, their tag and the note of where they came from, if there are any. */
public record CacheResponse(AttemptResult end, Buffer body, String tag, String outcome) {
    public static CacheResponse of(AttemptResult end) {
        return new CacheResponse(end, null, null, null);
    }

    /** The one place where a status is read. */
    static CacheResponse decode(int status, boolean neverRan, String length, Buffer body, String tag, String outcome) {
        AttemptResult end = switch (status) {
            case 200 -> length != null && !length.equals(String.valueOf(body.length())) ? AttemptResult.MALFORMED : AttemptResult.SERVED;
            case 304 -> AttemptResult.NOT_MODIFIED;
            case 404 -> AttemptResult.MISS;
            case 503 -> neverRan ? AttemptResult.FULL : AttemptResult.ERROR;
            case 504 -> neverRan ? AttemptResult.EXPIRED : AttemptResult.ERROR;
            default -> AttemptResult.ERROR;
        };
        return new CacheResponse(end, end == AttemptResult.SERVED ? body : null, tag, outcome);
    }
}
