package pewtercourse.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import pewtercourse.failover.Sites;
import pewtercourse.lease.LeaseNames;
import pewtercourse.lease.LeaseSettings;
import pewtercourse.raft.RaftSettings;

/**
 * What a member of a cluster of directors is told by the file that GW_CLUSTER names (JSON): {@code cluster}, the same at
 * all members; {@code name}, its own; {@code listen}; {@code data}, a lasting folder of its own; {@code members}, of
 * which there are three, five or seven, with addresses as this member reaches them. {@code sites}: what GW_SITES
 * names, or null.
 */
public record ClusterConfig(
        String cluster,
        String name,
        InetSocketAddress listen,
        Path data,
        Map<String, String> members,
        RaftSettings raft,
        LeaseSettings duties,
        Sites sites) {
    private static final Set<String> KEYS = Set.of(
            "cluster",
            "name",
            "listen",
            "data",
            "members",
            "heartbeat_ms",
            "election_ms",
            "lease_ms",
            "drift",
            "duties");
    private static final Map<String, String> RENAMED_DUTIES =
            Map.of("warden", LeaseNames.MAINTENANCE, "divider", LeaseNames.QUOTA);
    private static final int MEMBERS_MOST = 7, NAME_MOST = 64;
    private static final long SECOND = 1_000_000;

    /** Null where the environment names no file. */
    public static ClusterConfig fromEnvironment(Map<String, String> env) {
        String path = env.getOrDefault("GW_CLUSTER", "");
        String sites = env.getOrDefault("GW_SITES", "");
        if (path.isEmpty()) {
            if (!sites.isEmpty()) {
                throw new ConfigException("GW_SITES", "needs GW_CLUSTER: only directors that agree can keep sites");
            }
            return null;
        }
        ClusterConfig cluster = fromFile(Path.of(path));
        return sites.isEmpty() ? cluster : cluster.with(SitesConfig.fromFile(Path.of(sites)));
    }

    private ClusterConfig with(Sites of) {
        Set<String> names = new TreeSet<>(duties.leaseNames());
        names.add(LeaseNames.SITES);
        return new ClusterConfig(
                cluster,
                name,
                listen,
                data,
                members,
                raft,
                new LeaseSettings(
                        duties.durationMicros(),
                        duties.clockDrift(),
                        duties.retryMicros(),
                        names,
                        duties.maintenanceBudget(),
                        duties.quotaPolicy()),
                of);
    }

    public static ClusterConfig fromFile(Path path) {
        try {
            return read(new JsonObject(Files.readString(path)));
        } catch (IOException e) {
            throw new ConfigException("GW_CLUSTER", "can't read '" + path + "': " + e.getMessage());
        } catch (DecodeException e) {
            throw new ConfigException("GW_CLUSTER", "'" + path + "' is not JSON: " + e.getMessage());
        }
    }

    static ClusterConfig read(JsonObject json) {
        json.fieldNames().stream().filter(k -> !KEYS.contains(k)).findFirst().ifPresent(k -> {
            throw new ConfigException(k, "is no key of this file");
        });
        String name = name("name", json.getValue("name"));
        Map<String, String> members = members(json);
        if (!members.containsKey(name)) {
            throw new ConfigException("name", "'" + name + "' is not among the members");
        }
        long heartbeat = millis(json, "heartbeat_ms", 50, 5, 5_000);
        JsonArray election = json.getValue("election_ms") == null
                ? new JsonArray().add(300).add(600)
                : json.getValue("election_ms") instanceof JsonArray a ? a : new JsonArray();
        if (election.size() != 2
                || !(election.getValue(0) instanceof Number from)
                || !(election.getValue(1) instanceof Number to)) {
            throw new ConfigException("election_ms", "is not a list of two numbers, from and to");
        }
        if (from.longValue() * 1_000 < 3 * heartbeat) {
            throw new ConfigException("election_ms", "begins below three times heartbeat_ms");
        }
        if (to.longValue() <= from.longValue() || to.longValue() > 60_000) {
            throw new ConfigException("election_ms", "does not end above its beginning, or ends over 60000");
        }
        long lease = millis(json, "lease_ms", 2_000, 10, 600_000);
        if (lease < 2 * to.longValue() * 1_000) {
            throw new ConfigException("lease_ms", "is shorter than two election times");
        }
        double drift = number("drift", json.getValue("drift"), 0.01);
        if (drift < 0 || drift > 0.2) {
            throw new ConfigException("drift", "is not from 0 to 0.2");
        }
        return new ClusterConfig(
                name("cluster", json.getValue("cluster")),
                name,
                DirectorConfig.address("listen", text("listen", json.getValue("listen"))),
                Path.of(text("data", json.getValue("data"))),
                members,
                RaftSettings.of(heartbeat, from.longValue() * 1_000, to.longValue() * 1_000),
                duties(json.getValue("duties"), lease, drift, from.longValue() * 1_000),
                null);
    }

    private static Map<String, String> members(JsonObject json) {
        if (!(json.getValue("members") instanceof JsonArray list)) {
            throw new ConfigException("members", "is not a list");
        }
        Map<String, String> members = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            String key = "members[" + i + "].";
            JsonObject m = list.getValue(i) instanceof JsonObject o ? o : new JsonObject();
            String name = name(key + "name", m.getValue("name"));
            String address = text(key + "address", m.getValue("address"));
            DirectorConfig.address(key + "address", address);
            if (members.put(name, address) != null) {
                throw new ConfigException(key + "name", "'" + name + "' is there twice");
            }
        }
        if (members.size() < 3 || members.size() % 2 == 0 || members.size() > MEMBERS_MOST) {
            throw new ConfigException(
                    "members",
                    "are " + members.size() + ": three, five or seven are of use, as an even"
                            + " number bears no more losses than one less");
        }
        return members;
    }

    private static LeaseSettings duties(Object value, long lease, double drift, long again) {
        if (value != null && !(value instanceof JsonObject)) {
            throw new ConfigException("duties", "is not an object");
        }
        JsonObject json = value == null ? new JsonObject() : (JsonObject) value;
        LeaseSettings.MaintenanceBudget maintenanceBudget = null;
        LeaseSettings.QuotaPolicy quotaPolicy = null;
        for (String duty : json.fieldNames()) {
            String key = "duties." + duty;
            if (!(json.getValue(duty) instanceof JsonObject d)) {
                throw new ConfigException(key, "is not an object");
            }
            switch (duty) {
                case LeaseNames.MAINTENANCE -> maintenanceBudget = maintenanceBudget(key + ".", d);
                case LeaseNames.QUOTA -> quotaPolicy = quotaPolicy(key + ".", d);
                default ->
                    throw new ConfigException(
                            key,
                            JsonFields.unusable(
                                    duty,
                                    RENAMED_DUTIES,
                                    "is no duty: there are " + LeaseNames.MAINTENANCE + " and " + LeaseNames.QUOTA));
            }
        }
        return new LeaseSettings(lease, drift, again, new TreeSet<>(json.fieldNames()), maintenanceBudget, quotaPolicy);
    }

    private static LeaseSettings.MaintenanceBudget maintenanceBudget(String key, JsonObject d) {
        known(key, d, Set.of("most", "share", "out_most_ms", "beyond"));
        int most = (int) number(key + "most", d.getValue("most"), 0);
        double share = number(key + "share", d.getValue("share"), 0);
        if (most > 0 == share > 0 || most < 0 || share < 0 || share > 1) {
            throw new ConfigException(key + "most", "or share (up to 1), one of them, has to be over 0");
        }
        Object beyond = d.getValue("beyond", "wait");
        if (!beyond.equals("wait") && !beyond.equals("refuse")) {
            throw new ConfigException(key + "beyond", "'" + beyond + "' is neither wait nor refuse");
        }
        return new LeaseSettings.MaintenanceBudget(
                most, share, millis(d, key, "out_most_ms", 3_600_000, 100, 7 * 86_400_000L), beyond.equals("wait"));
    }

    private static LeaseSettings.QuotaPolicy quotaPolicy(String key, JsonObject d) {
        known(key, d, Set.of("reserve", "loan_ms"));
        double reserve = number(key + "reserve", d.getValue("reserve"), 0.5);
        if (reserve < 0.05 || reserve > 1) {
            throw new ConfigException(key + "reserve", "is not from 0.05 to 1");
        }
        return new LeaseSettings.QuotaPolicy((long) (reserve * 1_000), millis(d, key, "loan_ms", 1_000, 50, 60_000));
    }

    private static void known(String key, JsonObject d, Set<String> keys) {
        d.fieldNames().stream().filter(k -> !keys.contains(k)).findFirst().ifPresent(k -> {
            throw new ConfigException(key + k, "is no key of this duty");
        });
    }

    /** The address of a member as the file has it, or null. */
    public String address(String member) {
        return members.get(member);
    }

    private static String text(String key, Object v) {
        if (!(v instanceof String s) || s.isEmpty()) {
            throw new ConfigException(key, v == null ? "missing" : "'" + v + "' is no text");
        }
        return s;
    }

    private static String name(String key, Object v) {
        String s = text(key, v);
        if (s.length() > NAME_MOST || !s.matches("[A-Za-z0-9._-]+")) {
            throw new ConfigException(
                    key, "'" + s + "' is not up to " + NAME_MOST + " letters, digits, '.', '_' and '-'");
        }
        return s;
    }

    private static double number(String key, Object v, double otherwise) {
        if (v != null && !(v instanceof Number)) {
            throw new ConfigException(key, "'" + v + "' is not a number");
        }
        return v == null ? otherwise : ((Number) v).doubleValue();
    }

    private static long millis(JsonObject json, String key, long otherwise, long least, long most) {
        return millis(json, "", key, otherwise, least, most);
    }

    /** In microseconds. */
    private static long millis(JsonObject json, String path, String key, long otherwise, long least, long most) {
        double ms = number(path + key, json.getValue(key), otherwise);
        if (ms < least || ms > most) {
            throw new ConfigException(path + key, "is not from " + least + " to " + most);
        }
        return (long) (ms * SECOND / 1_000);
    }
}
