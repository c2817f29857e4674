/** Connections and attempts to caches over HTTP/1.1, and how each of them can end. */
package pewtercourse.cache;
