package pewtercourse;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Shutdown hook that runs from SIGTERM to the end of the process. Requests are accepted until the cut-off of
 * {@link pewtercourse.front.Drain.Cause#SHUTDOWN} and refused afterwards. The process ends once all requests are
 * answered and their clients have closed their connections. Each wait is bounded, so that the process ends even if a
 * cache hangs or clients never close.
 */
final class Shutdown implements Runnable {
    private static final long POLL_MS = 10;
    // Time that clients have to read their answers and close, once all requests are answered.
    private static final long MAX_CLIENT_CLOSE_MS = 2_500;
    // After this time from SIGTERM the requests that are still open are answered as failed.
    private static final long MAX_ANSWER_MS = 5_800;
    // Longer than the other bounds together: only reached if the event loop hangs.
    private static final long MAX_SHUTDOWN_MS = 9_000;

    private final Vertx vertx;
    private final Service service;
    private final CountDownLatch finished = new CountDownLatch(1);
    private boolean refusing;
    private long polls;
    private long finishedAtPoll = -1; // Number of the poll at which everything was answered; -1 before.

    Shutdown(Vertx vertx, Service service) {
        this.vertx = vertx;
        this.service = service;
    }

    @Override
    public void run() {
        long beganAtMicros = service.earliestSignalMicros();
        Log.info("director.stopping", "open", service.openRequests());
        vertx.runOnContext(v -> {
            service.terminate(beganAtMicros);
            vertx.setPeriodic(POLL_MS, timer -> poll());
            vertx.setTimer(MAX_ANSWER_MS, timer -> service.failOpenRequests());
        });
        try {
            finished.await(MAX_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        vertx.runOnContext(v -> service.closeCluster());
        Log.info("director.stopped", "open", service.openRequests());
        Runtime.getRuntime().halt(0);
    }

    private void poll() {
        polls++;
        if (!refusing && service.refusesRequests()) {
            refusing = true;
            Log.info("director.refusing", "open", service.openRequests());
        }
        if (!service.isFinished()) {
            finishedAtPoll = -1;
            return;
        }
        if (finishedAtPoll < 0) {
            finishedAtPoll = polls;
        }
        boolean waitedLongEnough = (polls - finishedAtPoll) * POLL_MS >= MAX_CLIENT_CLOSE_MS;
        if (service.connections() == 0 || waitedLongEnough) {
            finished.countDown();
        }
    }
}
