package pewtercourse.decision;

import java.util.Arrays;

/** Mean time in microseconds that it takes to send an answer of each class to its client. */
final class TransferTimes {
    /** Number of requests over which the mean is taken. */
    private static final long MAX_SAMPLES = 500;

    private double[] means = {};
    private long[] requestsSeen = {};

    /** Adapts to the number of classes. Classes keep their indices, and learned means are kept. */
    void resize(int classes) {
        means = Arrays.copyOf(means, classes);
        requestsSeen = Arrays.copyOf(requestsSeen, classes);
    }

    /** Estimates the transfer time of a request that has just arrived, and adds it to the mean of its class. */
    double record(RequestArrived request, RequestClass requestClass, double clientKbPerSecond) {
        int index = request.requestClass();
        double transferTime = means[index];
        if (request.sizeKb() > 0 && clientKbPerSecond > 0) {
            transferTime = request.sizeKb() / clientKbPerSecond * 1e6;
        } else if (transferTime == 0) {
            transferTime = requestClass.latencyObjective() / 2.0;
        }
        long samples = Math.min(++requestsSeen[index], MAX_SAMPLES);
        means[index] += (transferTime - means[index]) / samples;
        return transferTime;
    }

    double mean(RequestState request) {
        return means[request.arrival.requestClass()];
    }

    /** Returns the transfer time of the request as a multiple of the mean of its class. */
    double relativeSize(RequestState request) {
        return request.transferTime / mean(request);
    }
}
