/**
 * Routes requests: chooses an endpoint for each attempt, decides on retries and rejects requests. The package
 * does no I/O; callers pass the time as an argument.
 */
package pewtercourse.decision;
