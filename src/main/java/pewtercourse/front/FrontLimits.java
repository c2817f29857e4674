package pewtercourse.front;

/**
 * What a front may take up: connections, bytes of requests that aren't whole yet, and bytes of answers that
 * their clients haven't read yet, each over all connections.
 */
public record FrontLimits(int connections, long requestBytes, long answerBytes) {}
