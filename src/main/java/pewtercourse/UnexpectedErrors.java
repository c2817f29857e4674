package pewtercourse;

import io.vertx.core.Handler;
import java.util.function.IntConsumer;

/**
 * Receives what no handler of the event loop has caught. An {@link Error} ends a turn of the loop half way, so that a timer
 * or an answer may be lost: the process then ends at once, and its clients turn to another director.
 */
final class UnexpectedErrors implements Handler<Throwable> {
    /** The exit code for an internal error, as in sysexits.h. */
    static final int EXIT_CODE = 70;

    private final IntConsumer halt;

    /** {@code halt} ends the process with an exit code and without its shutdown hooks. */
    UnexpectedErrors(IntConsumer halt) {
        this.halt = halt;
    }

    @Override
    public void handle(Throwable e) {
        if (!(e instanceof Error)) {
            Log.error("loop.unexpected", e);
            return;
        }
        try {
            Log.error("process.failed", e);
        } finally {
            halt.accept(EXIT_CODE);
        }
    }
}
