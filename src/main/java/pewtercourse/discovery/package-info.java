/**
 * Discovery of endpoints: a watch on the control feed, a stream of server-sent events that lists caches, parents and
 * the origin and announces purges. {@link pewtercourse.discovery.EndpointWatch} keeps events in order and reconnects
 * with backoff; its transport and timers are passed to it.
 */
package pewtercourse.discovery;
