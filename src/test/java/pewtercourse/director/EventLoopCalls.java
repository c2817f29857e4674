package pewtercourse.director;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Runs code of a test on the event loop and waits for its return value. */
final class EventLoopCalls {
    private static final int WAIT_SECONDS = 60;

    private EventLoopCalls() {}

    static <T> T call(Vertx vertx, Supplier<T> code) throws Exception {
        CompletableFuture<T> returned = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            try {
                returned.complete(code.get());
            } catch (RuntimeException | Error e) {
                returned.completeExceptionally(e);
            }
        });
        return returned.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
