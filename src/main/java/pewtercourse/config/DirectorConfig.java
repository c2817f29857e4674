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
import pewtercourse.memory.MemoryLimits;

/**
 * Configuration of a director process: the GW_* variables and the JSON file that they name. This is the only place
 * where they are read, checked and given defaults.
 *
 * @param inheritsSocket whether the platform opens the listening socket for clients and passes it to this process
 * @param stateFolder    folder in which processes of the same director share operators' commands, or null
 * @param source         the JSON file as it was read
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

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;
    // Joins the elements of flattened lists. Names may contain any character except control characters.
    private static final String LIST_SEPARATOR = "\u001f";
    // Keys whose changes need no restart: a reload applies "feed" and "settings"; "known" and "seed" differ in each
    // file and only matter at a start.
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

    /**
     * Reads the file again for a reload.
     *
     * @throws ConfigException if the file can't replace this configuration as a whole
     */
    public DirectorConfig reread(Map<String, String> env) {
        DirectorConfig next = fromEnvironment(env);
        ReloadCheck.check(source, next.source);
        return next;
    }

    /** Reads the configuration; GW_NAME, GW_LISTEN and GW_ADMIN_ADDR override the keys of the file. */
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
        SiteSettings site = SiteSettings.read(flatten(settings), LIST_SEPARATOR);
        if (site.classes().isEmpty()) {
            throw new ConfigException("settings.Classes", "no class of requests");
        }
        checkSettings(site, settings);
        JsonObject limits = object(json, "limits", new JsonObject());
        return new DirectorConfig(
                name,
                address("GW_LISTEN", listen),
                seed(string(json, "seed", "0")),
                (int) number(limits, "limits.", "sockets", DEFAULT_SOCKETS),
                (int) number(limits, "limits.", "memory_mb", DEFAULT_MEMORY_MB),
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

    // Rejects values that would be replaced by defaults and then make every request fail or run twice.
    private static void checkSettings(SiteSettings site, JsonObject settings) {
        JsonArray classes = array(settings, "Classes");
        for (int i = 0; i < classes.size(); i++) {
            String path = "settings.Classes." + i + ".";
            JsonObject requestClass = classes.getValue(i) instanceof JsonObject object ? object : new JsonObject();
            if (!(requestClass.getValue("Name") instanceof String name) || name.isEmpty()) {
                throw new ConfigException(path + "Name", "missing");
            }
            if (site.classes().getOrDefault(name, -1) != i) {
                throw new ConfigException(path + "Name", "'" + name + "' is there twice");
            }
            requireOneOf(requestClass, path, "Effect", "pure", "token", "side_effect");
            requireOneOf(requestClass, path, "Group", "all", "zone", "cell");
            requirePositive(path + "Deadline", site.router().classes().get(i).deadline());
            requirePositive(path + "Aim", site.router().classes().get(i).latencyObjective());
        }
        requirePositive("settings.Permissions.TryLimit", site.router().retry().maxAttempts());
    }

    private static void requirePositive(String key, long value) {
        if (value <= 0) {
            throw new ConfigException(key, "not over 0");
        }
    }

    private static void requireOneOf(JsonObject requestClass, String path, String key, String... allowed) {
        if (requestClass.containsKey(key) && !List.of(allowed).contains(requestClass.getValue(key))) {
            throw new ConfigException(
                    path + key, "'" + requestClass.getValue(key) + "' is none of " + String.join(", ", allowed));
        }
    }

    /**
     * Returns whether the list of caches is still the first version. If so, the whole fleet is starting and no client
     * waits for this director. A fleet that already serves clients lacks this director's capacity until it is ready.
     */
    public boolean startsWithFleet() {
        return known.stream()
                .noneMatch(item -> item instanceof JsonObject event
                        && event.getValue("members") instanceof JsonObject members
                        && members.getValue("seq") instanceof Number seq
                        && seq.longValue() > 0);
    }

    // Descriptors for other uses than kept connections. The program itself needs about 15. Connections are accepted
    // 16 at a time before those over the limit are closed, and a closed one keeps its descriptor until the next
    // iteration of the event loop.
    private int otherDescriptors() {
        return 24 + sockets / 16 + (adminListen == null ? 0 : 16);
    }

    /** Maximum of client connections: a third of the descriptors, and 8 more as a margin for useless connections. */
    public int maxClientConnections() {
        return Math.max(8, sockets / 3 + 8);
    }

    /** How much the director may hold for others, from its memory limit and from the heap that the JVM was started with. */
    public MemoryLimits memoryLimits() {
        return MemoryLimits.of((long) memoryMb << 20, Runtime.getRuntime().maxMemory());
    }

    /** Maximum of accepted client connections: more than the front keeps, as the event loop closes excess ones later. */
    public int maxAcceptedConnections() {
        return maxClientConnections() + Math.max(4, sockets / 16);
    }

    /** Maximum of connections to caches, idle or busy. With an inherited socket, two processes may share the limit. */
    public int maxCacheConnections() {
        return Math.max(16, (sockets - maxClientConnections() - otherDescriptors()) / (inheritsSocket ? 2 : 1));
    }

    /** The zone of this director, or "" if the settings name none. */
    public String zone() {
        return source.getJsonObject("settings").getValue("Zone") instanceof String zone ? zone : "";
    }

    /** Returns the keys, sorted, that differ from {@code old} and whose change needs a restart. */
    public List<String> keysNeedingRestart(DirectorConfig old) {
        Set<String> keys = new TreeSet<>(source.fieldNames());
        keys.addAll(old.source.fieldNames());
        keys.removeIf(
                key -> NO_RESTART.contains(key) || Objects.equals(source.getValue(key), old.source.getValue(key)));
        return List.copyOf(keys);
    }

    /** Flattens nested settings to pairs of path and value, with the simulator's paths. */
    static Map<String, String> flatten(JsonObject settings) {
        Map<String, String> pairs = new HashMap<>();
        flatten(pairs, "", settings);
        return pairs;
    }

    private static void flatten(Map<String, String> pairs, String path, Object value) {
        if (value instanceof JsonObject object) {
            for (String key : object.fieldNames()) {
                flatten(pairs, path.isEmpty() ? key : path + "." + key, object.getValue(key));
            }
        } else if (value instanceof JsonArray list && !list.isEmpty() && list.getValue(0) instanceof JsonObject) {
            pairs.put(path + ".count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(pairs, path + "." + i, list.getValue(i));
            }
        } else if (value instanceof JsonArray list) {
            List<String> items = new ArrayList<>();
            list.forEach(item -> items.add(scalarText(path, item)));
            pairs.put(path, String.join(LIST_SEPARATOR, items));
        } else if (value != null) {
            pairs.put(path, scalarText(path, value));
        }
    }

    private static String scalarText(String path, Object value) {
        String text = String.valueOf(value);
        if (text.chars().anyMatch(Character::isISOControl)) {
            throw new ConfigException("settings." + path, "holds a control character");
        }
        return text;
    }

    private static String required(Map<String, String> env, String key) {
        String value = env.get(key);
        if (value == null || value.isEmpty()) {
            throw new ConfigException(key, "missing");
        }
        return value;
    }

    private static String string(JsonObject json, String key, String defaultValue) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof String)) {
            throw new ConfigException(key, "'" + value + "' is not a string");
        }
        return value == null ? defaultValue : (String) value;
    }

    private static JsonObject object(JsonObject json, String key, JsonObject defaultValue) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof JsonObject)) {
            throw new ConfigException(key, "not an object");
        }
        return value == null ? defaultValue : (JsonObject) value;
    }

    private static JsonArray array(JsonObject json, String key) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof JsonArray)) {
            throw new ConfigException(key, "not a list");
        }
        return value == null ? new JsonArray() : (JsonArray) value;
    }

    private static long number(JsonObject json, String path, String key, long defaultValue) {
        Object value = json.getValue(key);
        if (value != null && !(value instanceof Number)) {
            throw new ConfigException(path + key, "'" + value + "' is not a number");
        }
        return value == null ? defaultValue : ((Number) value).longValue();
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "'" + hex + "' is not hex digits");
        }
    }

    /** Parses a numeric address and a port; host names are rejected, as there is no DNS. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]+\\]?") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported below.
        }
        throw new ConfigException(key, "'" + text + "' is not ADDRESS:PORT");
    }
}
