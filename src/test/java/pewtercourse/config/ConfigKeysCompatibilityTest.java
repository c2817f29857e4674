package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.GoldenText.assertRecorded;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Pins the keys of {@code config.json}, {@code cluster.json} and {@code sites.json}. Each file is read with every key set;
 * then each key in turn is removed or given other values. The golden file records the error message, or whether the
 * settings differ from those of the full file.
 */
class ConfigKeysCompatibilityTest {
    private static final Path FULL_FILES = Path.of("src/test/resources/interfaces");
    private static final Object REMOVED = new Object();
    // Values that every key is given in turn.
    private static final List<Object> COMMON_VALUES = List.of(
            "x", "x y", "", 0, 1, -1, 0.25, 1e9, true, new JsonObject(), new JsonArray(), new JsonArray().add("x"));
    // Further values for single keys.
    private static final Map<String, List<Object>> KEY_SPECIFIC_VALUES = Map.of(
            "Discovery", List.of("push"),
            "Weights", List.of("silent", "nominal"),
            "Siblings", List.of("silent", "location"),
            "Says", List.of("silent", "all"),
            "Effect", List.of("pure", "token", "side_effect"),
            "Group", List.of("all", "zone", "cell"),
            "beyond", List.of("wait", "refuse"),
            "seed", List.of("0", "ffffffffffffffff"),
            "listen", List.of("10.0.0.1:80", "[::1]:80", "host:80", "10.0.0.1:0", "10.0.0.1:65536"));
    private static final List<Object> FORMER_KEYS =
            List.of("unknown", "bears", "lends", "floor", "warden", "divider", "most", "cores");

    @TempDir
    Path folder;

    private final StringBuilder report = new StringBuilder();

    private static JsonObject full(String file) throws Exception {
        return new JsonObject(Files.readString(FULL_FILES.resolve(file)));
    }

    @Test
    void keysOfTheDirectorFileAreAsRecorded() throws Exception {
        recordAll("config.json", "config-keys.txt", json -> DirectorConfig.read(Map.of(), json));
    }

    @Test
    void keysOfTheClusterFileAreAsRecorded() throws Exception {
        recordAll("cluster.json", "cluster-keys.txt", json -> {
            Path file = write(json);
            return ClusterConfig.fromEnvironment(Map.of("GW_CLUSTER", file.toString()));
        });
    }

    @Test
    void keysOfTheSitesFileAreAsRecorded() throws Exception {
        recordAll("sites.json", "sites-keys.txt", json -> SitesConfig.fromFile(write(json)));
    }

    private Path write(JsonObject json) {
        try {
            return Files.writeString(folder.resolve("file.json"), json.encode());
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void recordAll(String file, String golden, Function<JsonObject, Object> read) throws Exception {
        JsonObject full = full(file);
        SettingValues fullValues = SettingValues.of(read.apply(full));
        report.append("values ").append(fullValues.sorted()).append('\n');
        List<List<Object>> paths = new ArrayList<>();
        collectPaths(paths, List.of(), full);
        for (List<Object> path : paths) {
            List<Object> values = new ArrayList<>(List.of(REMOVED));
            values.addAll(COMMON_VALUES);
            values.addAll(KEY_SPECIFIC_VALUES.getOrDefault(path.get(path.size() - 1), List.of()));
            values.forEach(value -> record(full, path, value, fullValues, read));
            if (valueAt(full, path) instanceof JsonObject) {
                FORMER_KEYS.forEach(key -> record(full, with(path, key), 1, fullValues, read));
            }
        }
        FORMER_KEYS.forEach(key -> record(full, List.of(key), 1, fullValues, read));
        assertRecorded(golden, report.toString());
    }

    private static List<Object> with(List<Object> path, Object key) {
        List<Object> extended = new ArrayList<>(path);
        extended.add(key);
        return extended;
    }

    private static void collectPaths(List<List<Object>> paths, List<Object> parent, Object value) {
        if (!parent.isEmpty()) {
            paths.add(parent);
        }
        if (value instanceof JsonObject object) {
            object.fieldNames().forEach(key -> collectPaths(paths, with(parent, key), object.getValue(key)));
        } else if (value instanceof JsonArray list) {
            for (int i = 0; i < list.size(); i++) {
                collectPaths(paths, with(parent, i), list.getValue(i));
            }
        }
    }

    private static Object valueAt(Object json, List<Object> path) {
        Object value = json;
        for (Object key : path) {
            value = value instanceof JsonObject object
                    ? object.getValue((String) key)
                    : ((JsonArray) value).getValue((int) key);
        }
        return value;
    }

    private static JsonObject changed(JsonObject full, List<Object> path, Object value) {
        JsonObject json = full.copy();
        Object parent = valueAt(json, path.subList(0, path.size() - 1));
        Object key = path.get(path.size() - 1);
        if (parent instanceof JsonObject object) {
            if (value == REMOVED) {
                object.remove((String) key);
            } else {
                object.put((String) key, value);
            }
        } else if (value == REMOVED) {
            ((JsonArray) parent).remove((int) key);
        } else {
            ((JsonArray) parent).set((int) key, value);
        }
        return json;
    }

    private void record(
            JsonObject full,
            List<Object> path,
            Object value,
            SettingValues fullValues,
            Function<JsonObject, Object> read) {
        String text =
                value == REMOVED ? "(removed)" : new JsonArray().add(value).encode();
        report.append(path).append(" <- ").append(text).append(": ");
        report.append(outcome(() -> {
            SettingValues changedValues = SettingValues.of(read.apply(changed(full, path, value)));
            return changedValues.equals(fullValues)
                    ? "as before"
                    : "counts, values " + fullValues.difference(changedValues);
        }));
        report.append('\n');
    }

    private String outcome(java.util.concurrent.Callable<String> reading) {
        try {
            return reading.call();
        } catch (ConfigException e) {
            return "refused, " + e.getMessage().replace(folder.toString(), "FOLDER");
        } catch (Exception e) {
            return "fails with " + e.getClass().getSimpleName();
        }
    }

    // ---- Defaults, variables, reloads ----

    @Test
    void environmentVariablesAreAsRecorded() throws Exception {
        Path config = Files.writeString(
                folder.resolve("config.json"), full("config.json").encode());
        Path cluster = Files.writeString(
                folder.resolve("cluster.json"), full("cluster.json").encode());
        Path sites = Files.writeString(
                folder.resolve("sites.json"), full("sites.json").encode());
        Path broken = Files.writeString(folder.resolve("broken.json"), "{");
        Map<String, String> baseEnvironment = Map.of("GW_CONFIG", config.toString());
        SettingValues fullValues = SettingValues.of(DirectorConfig.fromEnvironment(baseEnvironment));
        for (String variable : List.of(
                "GW_NAME=other",
                "GW_LISTEN=10.0.0.1:81",
                "GW_LISTEN=nowhere",
                "GW_ADMIN_ADDR=10.0.0.1:82",
                "GW_ADMIN_ADDR=nowhere",
                "GW_ADMIN_ADDR=",
                "GW_SOCKET_FD=0",
                "GW_SOCKET_FD=",
                "TMPDIR=/var/tmp",
                "TMPDIR=",
                "GW_CONFIG=",
                "GW_CONFIG=" + broken,
                "GW_CONFIG=" + folder.resolve("missing"),
                "GW_UNKNOWN=1")) {
            Map<String, String> environment = new HashMap<>(baseEnvironment);
            environment.put(variable.replaceFirst("=.*", ""), variable.replaceFirst("[^=]*=", ""));
            append(variable, () -> {
                SettingValues changedValues = SettingValues.of(DirectorConfig.fromEnvironment(environment));
                return changedValues.equals(fullValues)
                        ? "as before"
                        : "counts, values " + fullValues.difference(changedValues);
            });
        }
        for (List<Object> pair : List.<List<Object>>of(
                List.of("", ""),
                List.of("", sites),
                List.of(cluster, ""),
                List.of(cluster, sites),
                List.of(broken, ""),
                List.of(cluster, broken),
                List.of(folder.resolve("missing"), ""),
                List.of(cluster, folder.resolve("missing")))) {
            Map<String, String> environment = Map.of(
                    "GW_CLUSTER",
                    pair.get(0).toString(),
                    "GW_SITES",
                    pair.get(1).toString());
            append("GW_CLUSTER=" + pair.get(0) + " GW_SITES=" + pair.get(1), () -> {
                ClusterConfig read = ClusterConfig.fromEnvironment(environment);
                return read == null
                        ? "no cluster"
                        : "values " + SettingValues.of(read).sorted();
            });
        }
        assertRecorded("environment.txt", report.toString());
    }

    private void append(String label, java.util.concurrent.Callable<String> reading) {
        String line = label + ": " + outcome(reading) + "\n";
        report.append(line.replace(folder.toString(), "FOLDER"));
    }

    @Test
    void reloadsOfTheDirectorFileAreAsRecorded() throws Exception {
        Path file = folder.resolve("config.json");
        Map<String, String> environment = Map.of("GW_CONFIG", file.toString());
        JsonObject full = full("config.json");
        Files.writeString(file, full.encode());
        DirectorConfig running = DirectorConfig.fromEnvironment(environment);
        List<List<Object>> paths = new ArrayList<>();
        collectPaths(paths, List.of(), full);
        for (List<Object> path : paths) {
            for (Object value : List.of(REMOVED, new JsonObject(), 7, "127.0.0.1:77")) {
                Files.writeString(file, changed(full, path, value).encode());
                append(path + " <- " + (value == REMOVED ? "(removed)" : value), () -> {
                    DirectorConfig next = running.reread(environment);
                    return "taken, a restart is needed for " + next.keysNeedingRestart(running);
                });
            }
        }
        assertRecorded("config-reloads.txt", report.toString());
    }

    @Test
    void settingValuesDifferIfSettingsDiffer() throws Exception {
        JsonObject json = full("cluster.json");
        SettingValues first = SettingValues.of(ClusterConfig.read(json));
        assertEquals(first, SettingValues.of(ClusterConfig.read(json.copy())));
        SettingValues second = SettingValues.of(ClusterConfig.read(json.copy().put("lease_ms", 2_200)));
        assertTrue(first.difference(second).contains("2200000"), first.difference(second));
    }
}
