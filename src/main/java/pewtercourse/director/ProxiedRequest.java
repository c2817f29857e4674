package pewtercourse.director;

import java.util.function.Consumer;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.cache.Attempt;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.ClientDisconnected;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.SendAttempt;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;
import pewtercourse.failover.OverflowDecision;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/**
 * The life of one request, from top to bottom: it arrives; the module sends it on, once or several times, one
 * attempt after the other; each attempt ends and the module hears how; the client gets one answer.
 */
final class ProxiedRequest {
    // The module answers at the deadline by itself; if it has not by then, something went wrong here.
    private static final long BACKSTOP = 15_000;
    // What can't be in time is given up a little before the client's time is over: of 169,000 answers of a fleet's day
    // 20
    // came in the last 100 ms, while 283 clients got their refusal some milliseconds after their time, and one whose
    // director ended just then got none at all.
    private static final long SPARE_MOST = 100_000;
    private static final double SPARE_SHARE = 0.04;

    final long id;
    private final Director director;
    private final ClientRequest request;
    private final int cls;
    private final long expires, backstop;
    private final Consumer<Answer> answer;
    private RouterEventQueue queue; // The module that has it.
    private RequestArrived arrival;
    private Attempt attempt;
    private SendAttempt sent;
    private long sentAt;
    private int attempts;
    private boolean over, purged;

    ProxiedRequest(Director director, ClientRequest request, int cls, Consumer<Answer> answer) {
        this.director = director;
        this.id = id(request);
        this.request = request;
        this.cls = cls;
        this.expires = expires(request);
        this.answer = answer;
        this.queue = director.home();
        this.backstop =
                director.timers.set(Timers.millis(expires + BACKSTOP - director.clock.getAsLong()), this::unanswered);
    }

    static long id(ClientRequest request) {
        return Long.parseUnsignedLong(request.id(), 16);
    }

    /** Clock time by which it is answered, one way or another: before its client's time is over. */
    static long expires(ClientRequest request) {
        long time = (long) (request.deadlineMs() * 1000);
        return request.takenAt() + time - (long) Math.min(SPARE_MOST, SPARE_SHARE * time);
    }

    // ---- It arrives: the module of the site that is to serve it plans ----
    void arrive() {
        OverflowDecision choice = director.choose(request, cls, expires);
        if (choice != null && choice.rejected()) {
            refuse(choice.retryAfterMicros());
            return;
        }
        if (choice != null) {
            queue = director.queue(choice.site().orElseThrow());
        }
        arrival = new RequestArrived(
                id,
                cls,
                request.object(),
                request.part(),
                request.group(),
                request.sizeKb(),
                expires,
                false,
                director.site.router().classes().get(cls).uncacheable());
        queue.tell(arrival);
    }

    // ---- The module sends it to a cache ----
    void send(SendAttempt s) {
        long now = director.clock.getAsLong();
        sent = s;
        sentAt = now;
        attempts++;
        WatchedEndpoint to = director.registry.get(s.endpointId());
        WatchedEndpoint source = s.fillSourceId() == s.endpointId() ? null : director.registry.get(s.fillSourceId());
        long until = s.timeout() > 0 ? Math.min(expires, now + s.timeout()) : expires;
        boolean unlisted = to == null || source == null && s.fillSourceId() != s.endpointId();
        // Never two out at once, never to or from a cache that has gone, never after the client's time.
        if (over
                || attempt != null
                || unlisted
                || until <= now
                || attempts > director.site.router().retry().maxAttempts()) {
            queue.tell(outcome(attempts - 1, s, AttemptResult.OVERTAKEN, null));
            return;
        }
        purged = false;
        CacheRequest out = new CacheRequest(
                request.id(),
                request.className(),
                request.object(),
                request.part(),
                request.body(),
                source == null ? null : source.name(),
                keep(s),
                (s.maxAge() + 999) / 1000,
                s.coalesce(),
                s.onlyIfCached(),
                s.refreshInBackground(),
                request.known());
        int number = attempts - 1;
        attempt = new Attempt(
                director.pool,
                director.timers,
                director.clock,
                s.endpointId(),
                to.address(),
                out,
                director.site.connectTimeout(),
                until,
                () -> stillRight(s),
                a -> ended(number, s, a));
        attempt.start();
    }

    // A guest's copies are the first to go: they are of no use once its site is back.
    private int keep(SendAttempt s) {
        return queue.guest() ? Math.min(1, s.retentionRank()) : s.retentionRank();
    }

    // The feed may have spoken while a connection came up.
    private boolean stillRight(SendAttempt s) {
        return !over
                && !purged
                && director.registry.ready(s.endpointId())
                && (s.fillSourceId() == s.endpointId() || director.registry.ready(s.fillSourceId()));
    }

    /** A purge of this object came: an attempt that still waits for its connection is decided anew. */
    void purged(WatchEvent.Purge p) {
        purged |= p.object() != null ? p.object().equals(request.object()) : p.group() == request.group();
    }

    void cancel(int number) {
        if (attempt != null && number == attempts - 1) {
            attempt.cancel();
        }
    }

    // ---- The attempt ends: the first that serves is the client's answer; the module hears of each ----
    private void ended(int number, SendAttempt s, CacheResponse a) {
        attempt = null;
        if (a.result() == AttemptResult.SERVED) {
            finish(Answer.served(a.body(), a.tag()));
        } else if (a.result() == AttemptResult.NOT_MODIFIED) {
            finish(Answer.same(a.tag()));
        }
        if (director.tracing) {
            Log.info(
                    "attempt.ended",
                    "id",
                    request.id(),
                    "number",
                    number,
                    "cache",
                    Long.toHexString(s.endpointId()),
                    "source",
                    Long.toHexString(s.fillSourceId()),
                    "end",
                    a.result(),
                    "outcome",
                    a.outcomeHeader(),
                    "bytes",
                    a.body() == null ? 0 : a.body().length(),
                    "kb",
                    request.sizeKb(),
                    "ms",
                    (director.clock.getAsLong() - sentAt) / 1000);
        }
        if (director.sightsOrNull() != null) {
            seen(s, a.result());
        }
        queue.tell(outcome(number, s, a.result(), a.outcomeHeader()));
        leave();
    }

    private void seen(SendAttempt s, AttemptResult end) {
        WatchedEndpoint at = director.registry.get(s.endpointId());
        if (at != null) {
            long now = director.clock.getAsLong();
            RequestClass c = director.site.router().classes().get(cls);
            double work = director.site.router().bandwidth().clientKbPerSecond() > 0
                    ? request.sizeKb() / director.site.router().bandwidth().clientKbPerSecond() * 1e6
                    : 0;
            director.sightsOrNull()
                    .recordAttempt(
                            now, at.zone(), end, now - sentAt > c.latencyObjective() + c.transferAllowance() * work);
        }
    }

    private AttemptFinished outcome(int number, SendAttempt s, AttemptResult end, String note) {
        return new AttemptFinished(
                id,
                number,
                s.endpointId(),
                AttemptOutcomes.of(end),
                director.clock.getAsLong() - sentAt,
                over,
                AttemptOutcomes.note(note));
    }

    // ---- The module gives up ----
    void refuse(long holdOff) {
        if (director.sightsOrNull() != null && !queue.guest() && arrival != null) {
            director.sightsOrNull().recordRejection(director.clock.getAsLong());
        }
        finish(Answer.refused(holdOff / 1000));
        leave();
    }

    void fail() {
        finish(Answer.failed());
        leave();
    }

    // ---- The client has left ----
    void clientGone() {
        if (!over) {
            over = true;
            director.timers.cancel(backstop);
            // What is withdrawn before the module has planned it is never planned: hundreds of requests that come and
            // go at once would else take up the room of the others until their attempts have ended.
            if (queue.withdraw(arrival)) {
                director.forget(this);
                return;
            }
            queue.tell(new ClientDisconnected(id));
            cancel(attempts - 1);
            leave();
        }
    }

    // ---- No request is lost, whatever broke ----
    void answerIfDue(long now) {
        if (!over && now >= expires) {
            unanswered();
        }
    }

    private void unanswered() {
        Log.warn(
                "request.unanswered",
                "id",
                request.id(),
                "class",
                request.className(),
                "attempts",
                attempts,
                "out",
                attempt != null,
                "late_ms",
                (director.clock.getAsLong() - expires) / 1000);
        abandon();
    }

    void abandon() {
        finish(Answer.failed());
        queue.tell(new ClientDisconnected(id));
        cancel(attempts - 1);
        leave();
    }

    private void finish(Answer a) {
        if (!over) {
            over = true;
            director.timers.cancel(backstop);
            if (director.tracing) {
                Log.info(
                        "request.answered",
                        "id",
                        request.id(),
                        "class",
                        request.className(),
                        "kind",
                        a.kind(),
                        "attempts",
                        attempts,
                        "ms",
                        (director.clock.getAsLong() - request.takenAt()) / 1000);
            }
            director.answered(this);
            answer.accept(a);
        }
    }

    // It stays known until the module has handled what it has been told: that may order one more attempt in the same
    // batch, whose outcome it must hear, or that attempt would take up room for good.
    private void leave() {
        if (over && attempt == null) {
            queue.forgetAfterBatch(this);
        }
    }
}
