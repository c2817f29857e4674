package pewtercourse.director;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Runs code of a test on the event loop and waits for what it returns. */
final class EventLoopCalls {
    private static final int WAIT_SECONDS = 60;

    private EventLoopCalls() {}

    static <T> T call(Vertx vertx, Supplier<T> what) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            try {
                done.complete(what.get());
            } catch (RuntimeException | Error e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
