package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;

/** How an attempt ended, with the bytes, their tag and the note of where they came from, if there are any. */
public record CacheAnswer(End end, Buffer body, String tag, String outcome) {
    public static CacheAnswer of(End end) {
        return new CacheAnswer(end, null, null, null);
    }

    /** The one place where a status is read. */
    static CacheAnswer decode(int status, boolean neverRan, String length, Buffer body, String tag, String outcome) {
        End end = switch (status) {
            case 200 -> length != null && !length.equals(String.valueOf(body.length())) ? End.MALFORMED : End.SERVED;
            case 304 -> End.NOT_MODIFIED;
            case 404 -> End.MISS;
            case 503 -> neverRan ? End.FULL : End.ERROR;
            case 504 -> neverRan ? End.EXPIRED : End.ERROR;
            default -> End.ERROR;
        };
        return new CacheAnswer(end, end == End.SERVED ? body : null, tag, outcome);
    }
}
