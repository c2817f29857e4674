package pewtercourse.discovery;

import java.net.InetSocketAddress;
import pewtercourse.decision.EndpointLifecycle;

/**
 * One line of the endpoint list: a cache, a parent or the origin.
 *
 * @param id        the number that stands for {@code name} at every director
 * @param name      the name by which the list and operators call it
 * @param address   where it takes requests; null if the list has none
 * @param zone      the zone that it runs in; "" if the list has none
 * @param kind      the kind of machine, which tells caches from parents and the origin; "" if the list has none
 * @param cell      the cell of its zone that it belongs to
 * @param state     whether it may serve
 * @param weight    its share of requests beside others; 0 if the list has none
 * @param startedMs when its process started, in Unix milliseconds; 0 if the list does not tell
 */
public record WatchedEndpoint(
        long id,
        String name,
        InetSocketAddress address,
        String zone,
        String kind,
        int cell,
        EndpointLifecycle state,
        double weight,
        long startedMs) {}
