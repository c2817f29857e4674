package pewtercourse.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import pewtercourse.front.FrontLimits;

/**
 * What one real director is told: the GW_* variables and the JSON file that they name. This is the only place
 * where they are read, checked and given defaults. {@code inheritsSocket}: the clients' socket is held by the platform.
 * {@code stateFolder}: where processes of one director leave word for one another, or null.
 */
public record DirectorConfig(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        int memoryMb,
        InetSocketAddress adminListen,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress feed,
        JsonArray known,
        long knownNumber,
        SiteSettings site,
        boolean inheritsSocket,
        Path stateFolder,
        JsonObject source) {

    private static final int DEFAULT_SOCKETS = 1024, DEFAULT_MEMORY = 192;
    // Of flattened lists: names may hold any character but control characters.
    private static final String LIST_SEPARATOR = "\u001f";
    // What SIGHUP carries out at once, and what is new in each file and only counts at a start.
    private static final Set<String> NO_RESTART = Set.of("feed", "known", "seed", "settings");

    public static DirectorConfig fromEnvironment(Map<String, String> env) {
        String path = required(env, "GW_CONFIG");
        JsonObject json;
        try {
            json = new JsonObject(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new ConfigException("GW_CONFIG", "can't read '" + path + "': " + e.getMessage());
        } catch (DecodeException e) {
            throw new ConfigException("GW_CONFIG", "'" + path + "' is not JSON: " + e.getMessage());
        }
        return read(env, json);
    }

    /** The file as it is now, to take the place of this one: whole, or not at all. */
    public DirectorConfig reread(Map<String, String> env) {
        DirectorConfig next = fromEnvironment(env);
        ReloadCheck.check(source, next.source);
        return next;
    }

    /** The variables win over the file where both tell the name and the address. */
    public static DirectorConfig read(Map<String, String> env, JsonObject json) {
        String name = env.getOrDefault("GW_NAME", string(json, "name", "director"));
        String listen = env.getOrDefault("GW_LISTEN", string(json, "listen", null));
        if (listen == null) {
            throw new ConfigException("GW_LISTEN", "missing, and the configuration has no 'listen'");
        }
        String admin = env.getOrDefault("GW_ADMIN_ADDR", string(json, "admin_addr", ""));
        JsonObject known = object(json, "known", new JsonObject());
        JsonObject settings = object(json, "settings", null);
        if (settings == null) {
            throw new ConfigException("settings", "missing");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        JsonArray addresses = array(json, "peers");
        for (int i = 0; i < addresses.size(); i++) {
            peers.add(address("peers[" + i + "]", String.valueOf(addresses.getValue(i))));
        }
        String peerListen = string(json, "peer_listen", null);
        String feed = string(json, "feed", null);
        SiteSettings site = SiteSettings.read(flat(settings), LIST_SEPARATOR);
        if (site.classes().isEmpty()) {
            throw new ConfigException("settings.Classes", "no class of requests");
        }
        usable(site, settings);
        JsonObject limits = object(json, "limits", new JsonObject());
        return new DirectorConfig(
                name,
                address("GW_LISTEN", listen),
                seed(string(json, "seed", "0")),
                (int) number(limits, "limits.", "sockets", DEFAULT_SOCKETS),
                (int) number(limits, "limits.", "memory_mb", DEFAULT_MEMORY),
                admin.isEmpty() ? null : address("GW_ADMIN_ADDR", admin),
                peerListen == null ? null : address("peer_listen", peerListen),
                peers,
                feed == null ? null : address("feed", feed),
                array(known, "events"),
                number(known, "known.", "n", 0),
                site,
                !env.getOrDefault("GW_SOCKET_FD", "").isEmpty(),
                admin.isEmpty() || env.getOrDefault("TMPDIR", "").isEmpty() ? null : Path.of(env.get("TMPDIR")),
                json);
    }

    // What would make every request fail, or be made twice, if it were read as a default.
    private static void usable(SiteSettings site, JsonObject settings) {
        JsonArray classes = array(settings, "Classes");
        for (int i = 0; i < classes.size(); i++) {
            String path = "settings.Classes." + i + ".";
            JsonObject c = classes.getValue(i) instanceof JsonObject o ? o : new JsonObject();
            if (!(c.getValue("Name") instanceof String name) || name.isEmpty()) {
                throw new ConfigException(path + "Name", "missing");
            }
            if (site.classes().getOrDefault(name, -1) != i) {
                throw new ConfigException(path + "Name", "'" + name + "' is there twice");
            }
            oneOf(c, path, "Effect", "pure", "token", "side_effect");
            oneOf(c, path, "Group", "all", "zone", "cell");
            over0(path + "Deadline", site.router().classes().get(i).deadline());
            over0(path + "Aim", site.router().classes().get(i).latencyObjective());
        }
        over0("settings.Permissions.TryLimit", site.router().retry().maxAttempts());
    }

    private static void over0(String key, long value) {
        if (value <= 0) {
            throw new ConfigException(key, "not over 0");
        }
    }

    private static void oneOf(JsonObject c, String path, String key, String... words) {
        if (c.containsKey(key) && !List.of(words).contains(c.getValue(key))) {
            throw new ConfigException(path + key, "'" + c.getValue(key) + "' is none of " + String.join(", ", words));
        }
    }

    /**
     * Whether the list of caches is still the first one, so that the whole fleet is starting and no client is
     * waiting for this director. One that comes into a fleet at work is missed until it is ready.
     */
    public boolean startsWithFleet() {
        return known.stream()
                .noneMatch(e -> e instanceof JsonObject event
                        && event.getValue("members") instanceof JsonObject m
                        && m.getValue("seq") instanceof Number seq
                        && seq.longValue() > 0);
    }

    // The program itself holds about 15 descriptors; a burst of connections is accepted 16 at a time, before one
    // that is too many is ended, and what is closed lingers for a turn of the loop.
    private int otherDescriptors() {
        return 24 + sockets / 16 + (adminListen == null ? 0 : 16);
    }

    /** Clients hold at most a third of the descriptors; a few more are for those that only get in the way. */
    public FrontLimits front() {
        return new FrontLimits(Math.max(8, sockets / 3 + 8), (long) memoryMb << 16, (long) memoryMb << 17);
    }

    /** Connections of clients that may be accepted at once: some more than are kept, until the event loop has seen them. */
    public int maxAcceptedConnections() {
        return front().connections() + Math.max(4, sockets / 16);
    }

    /** Connections to caches, idle or at work. Where the socket is inherited, two processes share the limit at times. */
    public int maxCacheConnections() {
        return Math.max(16, (sockets - front().connections() - otherDescriptors()) / (inheritsSocket ? 2 : 1));
    }

    /** The zone of this director, "" if the settings name none. */
    public String zone() {
        return source.getJsonObject("settings").getValue("Zone") instanceof String z ? z : "";
    }

    /** The keys of the file that differ and only a restart can carry out, in order. */
    public List<String> keysNeedingRestart(DirectorConfig old) {
        Set<String> keys = new TreeSet<>(source.fieldNames());
        keys.addAll(old.source.fieldNames());
        keys.removeIf(k -> NO_RESTART.contains(k) || Objects.equals(source.getValue(k), old.source.getValue(k)));
        return List.copyOf(keys);
    }

    /** Nested settings as pairs of path and value, with the simulator's paths. */
    static Map<String, String> flat(JsonObject settings) {
        Map<String, String> pairs = new HashMap<>();
        flatten(pairs, "", settings);
        return pairs;
    }

    private static void flatten(Map<String, String> to, String path, Object value) {
        if (value instanceof JsonObject o) {
            for (String key : o.fieldNames()) {
                flatten(to, path.isEmpty() ? key : path + "." + key, o.getValue(key));
            }
        } else if (value instanceof JsonArray a && !a.isEmpty() && a.getValue(0) instanceof JsonObject) {
            to.put(path + ".count", String.valueOf(a.size()));
            for (int i = 0; i < a.size(); i++) {
                flatten(to, path + "." + i, a.getValue(i));
            }
        } else if (value instanceof JsonArray a) {
            List<String> items = new ArrayList<>();
            a.forEach(v -> items.add(plain(path, v)));
            to.put(path, String.join(LIST_SEPARATOR, items));
        } else if (value != null) {
            to.put(path, plain(path, value));
        }
    }

    private static String plain(String path, Object value) {
        String text = String.valueOf(value);
        if (text.chars().anyMatch(Character::isISOControl)) {
            throw new ConfigException("settings." + path, "holds a control character");
        }
        return text;
    }

    private static String required(Map<String, String> env, String key) {
        String v = env.get(key);
        if (v == null || v.isEmpty()) {
            throw new ConfigException(key, "missing");
        }
        return v;
    }

    private static String string(JsonObject json, String key, String otherwise) {
        Object v = json.getValue(key);
        if (v != null && !(v instanceof String)) {
            throw new ConfigException(key, "'" + v + "' is not a string");
        }
        return v == null ? otherwise : (String) v;
    }

    private static JsonObject object(JsonObject json, String key, JsonObject otherwise) {
        Object v = json.getValue(key);
        if (v != null && !(v instanceof JsonObject)) {
            throw new ConfigException(key, "not an object");
        }
        return v == null ? otherwise : (JsonObject) v;
    }

    private static JsonArray array(JsonObject json, String key) {
        Object v = json.getValue(key);
        if (v != null && !(v instanceof JsonArray)) {
            throw new ConfigException(key, "not a list");
        }
        return v == null ? new JsonArray() : (JsonArray) v;
    }

    private static long number(JsonObject json, String path, String key, long otherwise) {
        Object v = json.getValue(key);
        if (v != null && !(v instanceof Number)) {
            throw new ConfigException(path + key, "'" + v + "' is not a number");
        }
        return v == null ? otherwise : ((Number) v).longValue();
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "'" + hex + "' is not hex digits");
        }
    }

    /** A numeric address and a port; names are refused, since there is no DNS. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]+\\]?") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // told below
        }
        throw new ConfigException(key, "'" + text + "' is not ADDRESS:PORT");
    }
}
