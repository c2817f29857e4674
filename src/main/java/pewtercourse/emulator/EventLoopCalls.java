package pewtercourse.emulator;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs actions on an event loop for a thread that waits for them. Must not be used on an event loop. */
public final class EventLoopCalls {
    private static final long TIMEOUT_S = 60;

    private EventLoopCalls() {}

    /** Runs an action on the event loop of a context and returns its result. */
    public static <T> T call(Context loop, Callable<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.runOnContext(v -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Waits for a future. */
    public static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}
