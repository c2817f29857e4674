package pewtercourse.front;

/**
 * The limits of a front, each over all its connections.
 *
 * @param connections maximum number of connections
 * @param requestBytes maximum bytes of incomplete requests
 * @param answerBytes maximum bytes of answers that clients have not read yet
 */
public record FrontLimits(int connections, long requestBytes, long answerBytes) {}
