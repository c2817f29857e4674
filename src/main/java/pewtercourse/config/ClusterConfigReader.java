package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import pewtercourse.raft.RaftSettings;

/**
 * Reads and checks one member's file: {@code cluster}, {@code name}, {@code listen}, {@code data}, {@code members},
 * {@code heartbeat_ms}, {@code election_ms}, {@code lease_ms}, {@code drift} and {@code duties}.
 */
final class ClusterConfigReader {
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
    private static final int MIN_MEMBERS = 3;
    private static final int MAX_MEMBERS = 7;
    private static final int MAX_NAME_LENGTH = 64;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long DEFAULT_ELECTION_MIN_MILLIS = 300;
    private static final long DEFAULT_ELECTION_MAX_MILLIS = 600;
    private static final long MAX_ELECTION_MILLIS = 60_000;
    // A follower must miss at least this many heartbeats before it starts an election.
    private static final int MIN_HEARTBEATS_PER_ELECTION = 3;
    private static final int MIN_ELECTIONS_PER_LEASE = 2;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final double MAX_DRIFT = 0.2;

    /** Bounds between which the election timeout is drawn at random. */
    private record ElectionTimeout(long minMillis, long maxMillis) {
        long minMicros() {
            return minMillis * MICROS_PER_MILLI;
        }

        long maxMicros() {
            return maxMillis * MICROS_PER_MILLI;
        }
    }

    private final JsonSection file;

    ClusterConfigReader(JsonSection file) {
        this.file = file;
    }

    ClusterConfig read() {
        requireKnownKeys();
        String name = name("name", file.json().getValue("name"));
        Map<String, String> members = members();
        if (!members.containsKey(name)) {
            throw file.invalid("name", "'" + name + "' is not among the members");
        }
        long heartbeatMicros = file.microsBetween("heartbeat_ms", 50, 5, 5_000);
        ElectionTimeout election = electionTimeout(heartbeatMicros);
        long leaseMicros = leaseMicros(election);
        double drift = drift();
        return new ClusterConfig(
                name("cluster", file.json().getValue("cluster")),
                name,
                DirectorConfig.address("listen", text("listen", file.json().getValue("listen"))),
                Path.of(text("data", file.json().getValue("data"))),
                members,
                RaftSettings.of(heartbeatMicros, election.minMicros(), election.maxMicros()),
                LeaseSettingsReader.read(file, leaseMicros, drift, election.minMicros()),
                null);
    }

    private void requireKnownKeys() {
        file.json().fieldNames().stream()
                .filter(key -> !KEYS.contains(key))
                .findFirst()
                .ifPresent(key -> {
                    throw file.invalid(key, "is no key of this file");
                });
    }

    private Map<String, String> members() {
        JsonArray list = file.requiredList("members");
        Map<String, String> addresses = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            String path = "members[" + i + "].";
            JsonObject member = list.getValue(i) instanceof JsonObject object ? object : new JsonObject();
            String name = name(path + "name", member.getValue("name"));
            String address = text(path + "address", member.getValue("address"));
            DirectorConfig.address(path + "address", address);
            if (addresses.put(name, address) != null) {
                throw file.invalid(path + "name", "'" + name + "' is there twice");
            }
        }
        int count = addresses.size();
        if (count < MIN_MEMBERS || count % 2 == 0 || count > MAX_MEMBERS) {
            throw file.invalid(
                    "members",
                    "are " + count + ": three, five or seven are of use, as an even"
                            + " number bears no more losses than one less");
        }
        return addresses;
    }

    private ElectionTimeout electionTimeout(long heartbeatMicros) {
        ElectionTimeout timeout = electionBounds();
        if (timeout.minMicros() < MIN_HEARTBEATS_PER_ELECTION * heartbeatMicros) {
            throw file.invalid("election_ms", "begins below three times heartbeat_ms");
        }
        if (timeout.maxMillis() <= timeout.minMillis() || timeout.maxMillis() > MAX_ELECTION_MILLIS) {
            throw file.invalid("election_ms", "does not end above its beginning, or ends over " + MAX_ELECTION_MILLIS);
        }
        return timeout;
    }

    private ElectionTimeout electionBounds() {
        Object value = file.json().getValue("election_ms");
        if (value == null) {
            return new ElectionTimeout(DEFAULT_ELECTION_MIN_MILLIS, DEFAULT_ELECTION_MAX_MILLIS);
        }
        if (value instanceof JsonArray bounds
                && bounds.size() == 2
                && bounds.getValue(0) instanceof Number min
                && bounds.getValue(1) instanceof Number max) {
            return new ElectionTimeout(min.longValue(), max.longValue());
        }
        throw file.invalid("election_ms", "is not a list of two numbers, from and to");
    }

    private long leaseMicros(ElectionTimeout election) {
        long lease = file.microsBetween("lease_ms", 2_000, 10, 600_000);
        if (lease < MIN_ELECTIONS_PER_LEASE * election.maxMicros()) {
            throw file.invalid("lease_ms", "is shorter than two election times");
        }
        return lease;
    }

    private double drift() {
        double drift = file.number("drift", DEFAULT_DRIFT);
        if (drift < 0 || drift > MAX_DRIFT) {
            throw file.invalid("drift", "is not from 0 to " + MAX_DRIFT);
        }
        return drift;
    }

    private static String text(String key, Object value) {
        if (value == null) {
            throw new ConfigException(key, "missing");
        }
        if (!(value instanceof String text) || text.isEmpty()) {
            throw new ConfigException(key, "'" + value + "' is no text");
        }
        return text;
    }

    private static String name(String key, Object value) {
        String name = text(key, value);
        if (name.length() > MAX_NAME_LENGTH || !name.matches("[A-Za-z0-9._-]+")) {
            throw new ConfigException(
                    key, "'" + name + "' is not up to " + MAX_NAME_LENGTH + " letters, digits, '.', '_' and '-'");
        }
        return name;
    }
}
