/** The control feed: a stream of server-sent events that lists caches, tells drains and purges. */
package pewtercourse.discovery;
