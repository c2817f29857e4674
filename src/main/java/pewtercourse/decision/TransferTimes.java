package pewtercourse.decision;

import java.util.Arrays;

/** Mean time that an answer of each class takes to send to its client, in microseconds. */
final class TransferTimes {
    /** Requests over which the mean runs. */
    private static final long MAX_SAMPLES = 500;

    private double[] means = {};
    private long[] requestsSeen = {};

    /** Classes keep their places; what was learned stays. */
    void resize(int classes) {
        means = Arrays.copyOf(means, classes);
        requestsSeen = Arrays.copyOf(requestsSeen, classes);
    }

    /** Estimates the transfer time of a request that has just come, and takes it into the mean of its class. */
    double record(RequestArrived request, RequestClass requestClass, double clientKbPerSecond) {
        int index = request.requestClass();
        double time = means[index];
        if (request.sizeKb() > 0 && clientKbPerSecond > 0) {
            time = request.sizeKb() / clientKbPerSecond * 1e6;
        } else if (time == 0) {
            time = requestClass.latencyObjective() / 2.0;
        }
        long samples = Math.min(++requestsSeen[index], MAX_SAMPLES);
        means[index] += (time - means[index]) / samples;
        return time;
    }

    double mean(RequestState request) {
        return means[request.arrival.requestClass()];
    }

    /** The request's transfer time as a multiple of its class's mean. */
    double relativeSize(RequestState request) {
        return request.transferTime / mean(request);
    }
}
