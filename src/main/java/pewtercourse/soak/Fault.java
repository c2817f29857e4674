package pewtercourse.soak;

import io.vertx.core.json.JsonObject;

/**
 * One fault of a plan.
 *
 * @param atMs when it begins, from the start of the load
 * @param kind what goes wrong
 * @param director index of the director that it concerns, if it concerns one
 * @param cache index of the cache that it concerns, if it concerns one
 * @param lengthMs how long it lasts, if it lasts
 * @param amount its size: seconds of a clock step, number of failing calls, connections of a crowd
 */
public record Fault(long atMs, Kind kind, int director, int cache, long lengthMs, int amount) {
    /** What goes wrong. */
    public enum Kind {
        /** One cache ends and starts again, cold. */
        CACHE_RESTART,
        /** All caches end and start again together, cold. */
        ALL_CACHES_RESTART,
        /** A cache drains, and is ready again later. */
        CACHE_DRAIN,
        /** A cache leaves the list of one director and returns. */
        LIST_FLAP,
        /** Objects that are asked for are purged. */
        PURGE,
        /** Bytes between a director and a cache are held back and arrive together. */
        LINK_HELD,
        /** Bytes between all directors and a cache are held back. */
        CACHE_SILENT,
        /** Bytes between a director and all caches are held back. */
        DIRECTOR_CUT_OFF,
        /** Bytes between a director and a cache are late. */
        LINK_SLOW,
        /** Connections between a director and a cache are reset. */
        LINK_RESET,
        /** Bytes from the control feed are held back. */
        FEED_HELD,
        /** The connection to the control feed is reset. */
        FEED_RESET,
        /** Clients leave before they have their answers. */
        CLIENTS_LEAVE,
        /** Idle clients hold connections. */
        CROWD,
        /** SIGTERM, and SIGKILL at the earliest moment that the platform allows; then a new start. */
        TERMINATE,
        /** SIGKILL without a warning; then a new start. */
        KILL,
        /** SIGHUP with new settings. */
        RELOAD,
        /** SIGSTOP, then SIGCONT. */
        PAUSE,
        /** Many short stops in a row, which leave the director little processor time; {@code amount} is their length. */
        STARVED,
        /** The director's wall clock is stepped. */
        CLOCK_STEP,
        /** Accepting connections fails. */
        ACCEPT_FAILS,
        /** Connecting fails. */
        CONNECT_FAILS,
        /** Waits for events are interrupted. */
        WAITS_INTERRUPTED,
        /** Reads and writes of sockets are short. */
        SHORT_TRANSFERS
    }

    JsonObject toJson() {
        return new JsonObject()
                .put("at_ms", atMs)
                .put("kind", kind.name())
                .put("director", director)
                .put("cache", cache)
                .put("length_ms", lengthMs)
                .put("amount", amount);
    }

    static Fault fromJson(JsonObject json) {
        return new Fault(
                json.getLong("at_ms"),
                Kind.valueOf(json.getString("kind")),
                json.getInteger("director"),
                json.getInteger("cache"),
                json.getLong("length_ms"),
                json.getInteger("amount"));
    }
}
