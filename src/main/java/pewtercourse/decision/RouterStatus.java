package pewtercourse.decision;

import java.util.List;
import java.util.Map;

/**
 * The part of a router's state that operators may see.
 *
 * @param ejectedEndpoints number of listed endpoints that currently get no requests because they failed
 * @param slowStartLimited whether an endpoint in slow start recently had no budget left for a request
 * @param slowStarts the endpoints in slow start that the router may send to
 * @param givenUp number of requests rejected or failed so far, for each reason
 */
public record RouterStatus(
        int ejectedEndpoints,
        boolean slowStartLimited,
        List<SlowStartStatus> slowStarts,
        Map<GiveUpReason, Long> givenUp) {}
