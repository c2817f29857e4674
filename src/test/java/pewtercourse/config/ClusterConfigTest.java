package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClusterConfigTest {
    private static JsonObject file() throws Exception {
        return new JsonObject(java.nio.file.Files.readString(Path.of("deploy/cluster.json")));
    }

    @Test
    void theOperatorsFileIsTakenAndNoFileIsNoCluster() throws Exception {
        ClusterConfig c = ClusterConfig.fromEnvironment(Map.of("GW_CLUSTER", "deploy/cluster.json"));
        assertEquals("d1", c.name());
        assertEquals(3, c.members().size());
        assertEquals(2_000_000, c.duties().durationMicros());
        assertEquals(500, c.duties().reservedThousandths());
        assertEquals(2, c.duties().maintenanceBudget().limit(8));
        assertEquals(1, c.duties().maintenanceBudget().limit(3));
        assertNull(ClusterConfig.fromEnvironment(Map.of()));
        JsonObject bare = file();
        bare.remove("duties");
        assertEquals(1_000, ClusterConfig.read(bare).duties().reservedThousandths());
    }

    @ParameterizedTest
    @CsvSource({"warden, maintenance", "divider, quota"})
    void aDutyByItsOldNameIsRefusedWithTheNewOne(String old, String now) throws Exception {
        JsonObject json = file();
        json.getJsonObject("duties").put(old, new JsonObject());
        ConfigException e = assertThrows(ConfigException.class, () -> ClusterConfig.read(json));
        assertEquals("duties." + old + ": is called '" + now + "' now", e.getMessage());
    }

    private static void refused(String key, Consumer<JsonObject> change) throws Exception {
        JsonObject json = file();
        change.accept(json);
        ConfigException e = assertThrows(ConfigException.class, () -> ClusterConfig.read(json));
        assertTrue(e.getMessage().startsWith(key), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "lease_ms, 1199",
        "lease_ms, x",
        "drift, 0.3",
        "drift, -1",
        "heartbeat_ms, 0",
        "heartbeat_ms, 101",
        "name, d4",
        "name, a b",
        "listen, here",
        "data, ''",
        "cluster, ''",
        "colour, red"
    })
    void aFaultyKeyIsNamed(String key, String value) throws Exception {
        Object v = value.matches("-?[0-9.]+") ? (Object) Double.valueOf(value) : value;
        refused(key.equals("heartbeat_ms") && value.equals("101") ? "election_ms" : key, j -> j.put(key, v));
    }

    @Test
    void membersDutiesAndElectionsAreChecked() throws Exception {
        for (int size : new int[] {0, 1, 2, 4, 6, 9}) {
            JsonArray members = new JsonArray();
            for (int i = 1; i <= size; i++) {
                members.add(new JsonObject().put("name", "d" + i).put("address", "127.0.0.1:" + (7_000 + i)));
            }
            refused("members", j -> j.put("members", members));
        }
        refused(
                "members[1].name",
                j -> j.getJsonArray("members").getJsonObject(1).put("name", "d1"));
        refused(
                "members[2].address",
                j -> j.getJsonArray("members").getJsonObject(2).put("address", "d3:7003"));
        refused(
                "election_ms",
                j -> j.put("election_ms", new JsonArray().add(600).add(300)));
        refused("election_ms", j -> j.put("election_ms", 300));
        refused("duties.maintenance.most", j -> j.getJsonObject("duties").put("maintenance", new JsonObject()));
        refused(
                "duties.maintenance.most",
                j -> j.getJsonObject("duties").getJsonObject("maintenance").put("most", 1));
        refused(
                "duties.maintenance.beyond",
                j -> j.getJsonObject("duties").getJsonObject("maintenance").put("beyond", "x"));
        refused(
                "duties.quota.reserve",
                j -> j.getJsonObject("duties").getJsonObject("quota").put("reserve", 0));
        refused(
                "duties.quota.loan_ms",
                j -> j.getJsonObject("duties").getJsonObject("quota").put("loan_ms", "x"));
        refused("duties.sweeper", j -> j.getJsonObject("duties").put("sweeper", new JsonObject()));
    }
}
