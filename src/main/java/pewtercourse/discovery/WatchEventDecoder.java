package pewtercourse.discovery;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pewtercourse.config.DirectorConfig;
import pewtercourse.decision.EndpointLifecycle;

/** Decodes events of the control feed, and the initial ones of a director's configuration, from JSON. */
public final class WatchEventDecoder {
    private static final int HEXADECIMAL = 16;

    private WatchEventDecoder() {}

    /**
     * Decodes the data of one event.
     *
     * @throws MalformedEventException if the data is not JSON, or a required value is missing or invalid
     */
    static WatchEvent decode(String data) {
        try {
            return decodeEvent(new JsonObject(data));
        } catch (RuntimeException e) {
            throw new MalformedEventException(e);
        }
    }

    /**
     * Decodes one event.
     *
     * @throws MalformedEventException if a required value is missing or invalid
     */
    public static WatchEvent decode(JsonObject event) {
        try {
            return decodeEvent(event);
        } catch (RuntimeException e) {
            throw new MalformedEventException(e);
        }
    }

    private static WatchEvent decodeEvent(JsonObject event) {
        long number = event.getLong("n");
        JsonObject members = event.getJsonObject("members");
        JsonObject purge = event.getJsonObject("purge");
        if (members != null) {
            return new WatchEvent.EndpointUpdate(number, members.getBoolean("whole", false), endpoints(members));
        }
        if (purge != null) {
            return new WatchEvent.Purge(
                    number, purge.getString("key"), purge.getInteger("group", 0), purge.getLong("at"));
        }
        return new WatchEvent.Unknown(number);
    }

    private static List<WatchedEndpoint> endpoints(JsonObject members) {
        JsonArray hosts = members.getJsonArray("hosts", new JsonArray());
        List<WatchedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            endpoints.add(endpoint(hosts.getJsonObject(i)));
        }
        return endpoints;
    }

    private static WatchedEndpoint endpoint(JsonObject host) {
        String name = host.getString("host");
        EndpointLifecycle state = state(host.getString("health"));
        String address = host.getString("dial");
        return new WatchedEndpoint(
                endpointId(name),
                name,
                address == null ? null : DirectorConfig.address("dial", address),
                host.getString("site", ""),
                host.getString("class", ""),
                number(host, "block").intValue(),
                state,
                number(host, "share").doubleValue(),
                number(host, "born_ms").longValue());
    }

    private static EndpointLifecycle state(String health) {
        return switch (health) {
            case "Ready" -> EndpointLifecycle.READY;
            case "Terminating" -> EndpointLifecycle.DRAINING;
            case "Gone" -> EndpointLifecycle.GONE;
            default ->
                throw new IllegalArgumentException("health '" + health + "': expected Ready, Terminating or Gone");
        };
    }

    private static Number number(JsonObject host, String key) {
        Number value = host.getNumber(key);
        return value == null ? 0 : value;
    }

    /**
     * Parses the id of an endpoint, which is the same at every director, from the hexadecimal digits that end its
     * name.
     */
    static long endpointId(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1).toLowerCase(Locale.ROOT);
        return Long.parseLong(digits, HEXADECIMAL);
    }
}
