package pewtercourse.discovery;

import java.net.InetSocketAddress;
import pewtercourse.decision.EndpointLifecycle;

/**
 * An entry of the endpoint list: a cache, a parent or the origin.
 *
 * @param id        the number derived from {@code name}, the same at every director
 * @param name      the name in the list and for operators
 * @param address   the address for requests; null if the list has none
 * @param zone      the zone of the endpoint; "" if the list has none
 * @param kind      the kind of machine, which tells caches from parents and the origin; "" if the list has none
 * @param cell      the cell of the endpoint in its zone
 * @param state     the lifecycle state, which decides whether the endpoint may serve
 * @param weight    the share of requests relative to other endpoints; 0 if the list has none
 * @param startedMs the start time of its process, in Unix milliseconds; 0 if the list has none
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
