package pewtercourse;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Shutdown hook that runs from SIGTERM to the end of the process. Requests are accepted until the cut-off of
 * {@link pewtercourse.front.Drain.Cause#SHUTDOWN} and refused afterwards. The process ends once all requests are
 * answered and their clients have read the answers and closed their connections. Each wait is bounded, so that the process
 * ends even if a cache hangs, clients never close, or the event loop stands still.
 */
final class Shutdown implements Runnable {
    private static final long POLL_MS = 10;
    // Time that clients have to close once they have got all answers.
    private static final long MAX_CLIENT_CLOSE_MS = 2_500;
    // After this time from SIGTERM the requests that are still open are answered as failed.
    private static final long MAX_ANSWER_MS = 5_800;
    // Clients that read slowly, but steadily, have this time from SIGTERM. The platform may end the process earlier.
    private static final long MAX_DELIVERY_MS = 60_000;
    // After this time without a turn of the event loop the process ends.
    private static final long MAX_HANG_MS = 9_000;
    private static final long HANG_CHECK_MS = 100;

    private final Vertx vertx;
    private final Service service;
    private final CountDownLatch finished = new CountDownLatch(1);
    private volatile long lastPollNanos = System.nanoTime();
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
            while (!finished.await(HANG_CHECK_MS, TimeUnit.MILLISECONDS) && !isHanging()) {
                // Each poll of the event loop proves that it runs.
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        vertx.runOnContext(v -> service.closeCluster());
        Log.info("director.stopped", "open", service.openRequests());
        Runtime.getRuntime().halt(0);
    }

    private boolean isHanging() {
        return System.nanoTime() - lastPollNanos > TimeUnit.MILLISECONDS.toNanos(MAX_HANG_MS);
    }

    private void poll() {
        polls++;
        lastPollNanos = System.nanoTime();
        if (!refusing && service.refusesRequests()) {
            refusing = true;
            Log.info("director.refusing", "open", service.openRequests());
        }
        boolean isDelivering = polls * POLL_MS < MAX_DELIVERY_MS && service.isDelivering();
        if (!service.isFinished() || isDelivering) {
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
