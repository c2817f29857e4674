package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pewtercourse.SilentListener;

class HttpTransportTest {
    private static final long SHORT_TIMEOUT_MS = 50;
    private static final long LONG_TIMEOUT_MS = 600_000;
    // Longer than the short timeout, far shorter than the default of Vert.x, a minute.
    private static final long WAIT_SECONDS = 30;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    /**
     * After a reload new connections use the new timeout, also while one with the old timeout is being
     * established.
     */
    @Test
    void eachConnectHasItsOwnTimeout() throws Exception {
        try (SilentListener listener = new SilentListener("127.0.0.1")) {
            HttpTransport transport = new HttpTransport(vertx);
            Future<CacheConnection> withLongTimeout = transport.connect(listener.address(), LONG_TIMEOUT_MS);
            Future<CacheConnection> withShortTimeout = transport.connect(listener.address(), SHORT_TIMEOUT_MS);
            CompletableFuture<CacheConnection> failing =
                    withShortTimeout.toCompletionStage().toCompletableFuture();
            assertThrows(ExecutionException.class, () -> failing.get(WAIT_SECONDS, TimeUnit.SECONDS));
            assertFalse(withLongTimeout.isComplete());
        }
    }
}
