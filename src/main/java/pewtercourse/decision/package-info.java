/**
 * The decisions on requests: which server, when an attempt is repeated, what is refused. Knows no sockets; the time is
 * an argument.
 */
package pewtercourse.decision;
