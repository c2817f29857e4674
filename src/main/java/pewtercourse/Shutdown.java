package pewtercourse;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What happens between SIGTERM and the end of the process, as a shutdown hook. Requests are taken until the cut-off of
 * {@link pewtercourse.front.Drain.Cause#SHUTDOWN}, refused afterwards; the process ends once all are answered and their
 * clients have closed. Each wait has a bound, so that the process ends even if a cache hangs and clients never close.
 */
final class Shutdown implements Runnable {
    private static final long POLL_MS = 10;
    // Clients that have not read their answers have this long, then their connections end with the process.
    private static final long CLIENTS_MOST_MS = 2_500;
    // From SIGTERM on; what is still open then is answered as failed.
    private static final long ANSWERS_MOST_MS = 5_800;
    // Past all other bounds: the event loop itself hangs.
    private static final long END_MOST_MS = 9_000;

    private final Vertx vertx;
    private final Service service;
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean refusing;
    private long polls;
    private long finishedAt = -1; // The poll at which all was answered.

    Shutdown(Vertx vertx, Service service) {
        this.vertx = vertx;
        this.service = service;
    }

    @Override
    public void run() {
        Log.info("director.stopping", "open", service.open());
        vertx.runOnContext(v -> {
            service.terminate();
            vertx.setPeriodic(POLL_MS, timer -> poll());
            vertx.setTimer(ANSWERS_MOST_MS, timer -> service.giveUp());
        });
        try {
            ended.await(END_MOST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        vertx.runOnContext(v -> service.leave());
        Log.info("director.stopped", "open", service.open());
        Runtime.getRuntime().halt(0);
    }

    private void poll() {
        polls++;
        if (!refusing && service.refuses()) {
            refusing = true;
            Log.info("director.refusing", "open", service.open());
        }
        if (!service.finished()) {
            finishedAt = -1;
            return;
        }
        if (finishedAt < 0) {
            finishedAt = polls;
        }
        boolean waitedLongEnough = (polls - finishedAt) * POLL_MS >= CLIENTS_MOST_MS;
        if (service.connections() == 0 || waitedLongEnough) {
            ended.countDown();
        }
    }
}
