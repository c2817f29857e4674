/** The life of a request between client, decisions and caches, on the event loop. */
package pewtercourse.director;
