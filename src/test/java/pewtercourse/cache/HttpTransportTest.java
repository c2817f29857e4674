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
    private static final long HASTY_MS = 50, PATIENT_MS = 600_000;
    // Over the hasty timeout, far under the library's own of a minute.
    private static final long ENDED_SECONDS = 30;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** After a reload the next dial goes by the new timeout, also while one with the old timeout is under way. */
    @Test
    void eachDialHasItsOwnTimeout() throws Exception {
        try (SilentListener listener = new SilentListener("127.0.0.1")) {
            HttpTransport transport = new HttpTransport(vertx);
            Future<CacheConnection> patient = transport.connect(listener.address(), PATIENT_MS);
            Future<CacheConnection> hasty = transport.connect(listener.address(), HASTY_MS);
            CompletableFuture<CacheConnection> ended = hasty.toCompletionStage().toCompletableFuture();
            assertThrows(ExecutionException.class, () -> ended.get(ENDED_SECONDS, TimeUnit.SECONDS));
            assertFalse(patient.isComplete());
        }
    }
}
