package pewtercourse.decision;

/**
 * An attempt that may have run, or may still run.
 *
 * @param attempt index of the attempt within its request
 * @param zone zone of the endpoint that received it
 * @param cell cell of that endpoint
 * @param sentAt time at which it was sent
 */
record PossibleRun(long requestId, int attempt, int zone, int cell, long sentAt) {}
