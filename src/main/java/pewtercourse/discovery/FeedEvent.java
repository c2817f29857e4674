package pewtercourse.discovery;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pewtercourse.config.DirectorConfig;
import pewtercourse.decision.EndpointLifecycle;

/** An event of the control feed: a change of the list of caches, or a purge. */
public sealed interface FeedEvent {
    long number();

    /** A line of the list. {@code id} is the number that stands for {@code name} at every director. */
    record Host(
            long id,
            String name,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            EndpointLifecycle state,
            double weight,
            long startedMs) {}

    /** The whole list, or changes of it. */
    record Members(long number, boolean whole, List<Host> hosts) implements FeedEvent {}

    /** {@code object} null: every object of the group. {@code atMs}: Unix time of the purge. */
    record Purge(long number, String object, int group, long atMs) implements FeedEvent {}

    /** Not known here: passed over, but counted. */
    record Other(long number) implements FeedEvent {}

    /** Throws a RuntimeException on an event that can't be used. */
    static FeedEvent decode(JsonObject json) {
        long number = json.getLong("n");
        JsonObject members = json.getJsonObject("members");
        JsonObject purge = json.getJsonObject("purge");
        if (members != null) {
            List<Host> hosts = new ArrayList<>();
            JsonArray list = members.getJsonArray("hosts", new JsonArray());
            for (int i = 0; i < list.size(); i++) {
                hosts.add(host(list.getJsonObject(i)));
            }
            return new Members(number, members.getBoolean("whole", false), hosts);
        }
        if (purge != null) {
            return new Purge(number, purge.getString("key"), purge.getInteger("group", 0), purge.getLong("at"));
        }
        return new Other(number);
    }

    private static Host host(JsonObject h) {
        String name = h.getString("host");
        EndpointLifecycle state = switch (h.getString("health")) {
            case "Ready" -> EndpointLifecycle.READY;
            case "Terminating" -> EndpointLifecycle.DRAINING;
            case "Gone" -> EndpointLifecycle.GONE;
            default -> throw new IllegalArgumentException("health '" + h.getString("health") + "' is no state");
        };
        String dial = h.getString("dial");
        return new Host(
                number(name),
                name,
                dial == null ? null : DirectorConfig.address("dial", dial),
                h.getString("site", ""),
                h.getString("class", ""),
                number(h, "block").intValue(),
                state,
                number(h, "share").doubleValue(),
                number(h, "born_ms").longValue());
    }

    private static Number number(JsonObject h, String key) {
        Number n = h.getNumber(key);
        return n == null ? 0 : n;
    }

    /** The number that the name's hex digits spell: the same at every director, as in the simulator. */
    static long number(String name) {
        return Long.parseLong(name.substring(name.lastIndexOf('-') + 1).toLowerCase(Locale.ROOT), 16);
    }
}
