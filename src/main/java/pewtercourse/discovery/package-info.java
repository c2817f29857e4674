/**
 * Discovery of endpoints: a watch on the control feed, a stream of server-sent events that lists caches, parents and the
 * origin and tells of purges. {@link pewtercourse.discovery.EndpointWatch} keeps the order of events and reconnects with
 * backoff; it does its input and output through a transport and timers that it is given.
 */
package pewtercourse.discovery;
