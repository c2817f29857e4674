package pewtercourse.director;

import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.SendAttempt;
import pewtercourse.front.ClientRequest;

/**
 * Converts between the messages of the sockets and those of the routing engine. Whatever the engine decides on passes
 * here; docs/carried-fields.md lists it field by field.
 */
final class RouterMessages {
    private static final int MICROS_PER_MILLI = 1_000;

    private RouterMessages() {}

    /** The event of a client's request; {@code expiresAt} is the time by which it is answered. */
    static RequestArrived toArrival(
            ClientRequest request, long id, int classIndex, RequestClass requestClass, long expiresAt) {
        return new RequestArrived(
                id,
                classIndex,
                request.object(),
                request.part(),
                request.group(),
                request.sizeKb(),
                expiresAt,
                request.clientRetry(),
                request.idempotencyKey(),
                requestClass.uncacheable());
    }

    /**
     * The request to a cache that carries out an attempt.
     *
     * @param fillSource name of the fill source that the attempt names; null for no fill
     * @param retentionRank the rank of a copy at this cache
     */
    static CacheRequest toCacheRequest(ClientRequest request, SendAttempt send, String fillSource, int retentionRank) {
        return new CacheRequest(
                request.id(),
                request.className(),
                request.object(),
                request.part(),
                request.idempotencyKey(),
                request.body(),
                fillSource,
                retentionRank,
                (send.maxAge() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI,
                send.coalesce(),
                send.onlyIfCached(),
                send.refreshInBackground(),
                request.knownTag());
    }

    /** The event of an attempt's end. */
    static AttemptFinished toAttemptFinished(
            SendAttempt send, int number, CacheResponse response, long latencyMicros, boolean requestDone) {
        return new AttemptFinished(
                send.requestId(),
                number,
                send.endpointId(),
                AttemptOutcomes.fromResult(response.result()),
                latencyMicros,
                requestDone,
                AttemptOutcomes.parseCacheStatus(response.outcomeHeader()),
                AttemptOutcomes.transfersBody(response.result()));
    }
}
