/** Takes each request from its client through the routing engine to the caches and back, on the event loop. */
package pewtercourse.director;
