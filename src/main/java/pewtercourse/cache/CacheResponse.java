package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;

/**
 * The result of an attempt, with what the response carried.
 *
 * @param body          null unless the result is {@link AttemptResult#SERVED}
 * @param tag           entity tag of the object; null if there is none
 * @param outcomeHeader value of the header Outcome, which says where the body came from or why a fill failed;
 *     null if there is none
 */
public record CacheResponse(AttemptResult result, Buffer body, String tag, String outcomeHeader) {
    /** A result without a response. */
    public static CacheResponse of(AttemptResult result) {
        return new CacheResponse(result, null, null, null);
    }

    /**
     * Interprets a complete response.
     *
     * @param neverRan whether the cache states that the request did not run
     * @param length   value of the header Content-Length, or null
     */
    static CacheResponse decode(
            int status, boolean neverRan, String length, Buffer body, String tag, String outcomeHeader) {
        AttemptResult result = switch (status) {
            case 200 ->
                length != null && !length.equals(String.valueOf(body.length()))
                        ? AttemptResult.MALFORMED
                        : AttemptResult.SERVED;
            case 304 -> AttemptResult.NOT_MODIFIED;
            case 404 -> AttemptResult.MISS;
            case 503 -> neverRan ? AttemptResult.FULL : AttemptResult.ERROR;
            case 504 -> neverRan ? AttemptResult.EXPIRED : AttemptResult.ERROR;
            default -> AttemptResult.ERROR;
        };
        return new CacheResponse(result, result == AttemptResult.SERVED ? body : null, tag, outcomeHeader);
    }
}
