/**
 * Connections to caches over HTTP/1.1, the requests that are attempted on them, and the results of those
 * attempts.
 */
package pewtercourse.cache;
