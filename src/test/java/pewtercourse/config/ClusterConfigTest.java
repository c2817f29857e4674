package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClusterConfigTest {
    private static final String SHIPPED_FILE = "deploy/cluster.json";

    private static JsonObject shippedFile() throws IOException {
        return new JsonObject(Files.readString(Path.of(SHIPPED_FILE)));
    }

    private static ConfigException rejection(Consumer<JsonObject> change) throws IOException {
        JsonObject json = shippedFile();
        change.accept(json);
        return assertThrows(ConfigException.class, () -> ClusterConfig.read(json));
    }

    private static void assertRejected(String key, Consumer<JsonObject> change) throws IOException {
        String message = rejection(change).getMessage();
        assertTrue(message.startsWith(key), message);
    }

    @Test
    void readsTheShippedFile() {
        ClusterConfig config = ClusterConfig.fromEnvironment(Map.of("GW_CLUSTER", SHIPPED_FILE));

        assertEquals("d1", config.name());
        assertEquals(3, config.members().size());
        assertEquals(2_000_000, config.duties().durationMicros());
        assertEquals(500, config.duties().reservedThousandths());
        assertEquals(2, config.duties().maintenanceBudget().limit(8));
        assertEquals(1, config.duties().maintenanceBudget().limit(3));
    }

    @Test
    void returnsNullWithoutAClusterFile() {
        assertNull(ClusterConfig.fromEnvironment(Map.of()));
    }

    @Test
    void reservesTheWholeQuotaWithoutTheQuotaLease() throws IOException {
        JsonObject json = shippedFile();
        json.remove("duties");

        assertEquals(1_000, ClusterConfig.read(json).duties().reservedThousandths());
    }

    @ParameterizedTest
    @CsvSource({"warden, maintenance", "divider, quota"})
    void rejectsAFormerLeaseNameAndNamesThePresentOne(String former, String present) throws IOException {
        ConfigException e = rejection(json -> json.getJsonObject("duties").put(former, new JsonObject()));

        assertEquals("duties." + former + ": is called '" + present + "' now", e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "lease_ms, 1199",
        "lease_ms, x",
        "drift, 0.3",
        "drift, -1",
        "heartbeat_ms, 0",
        "name, d4",
        "name, a b",
        "listen, here",
        "data, ''",
        "cluster, ''",
        "colour, red"
    })
    void namesTheInvalidKey(String key, String value) throws IOException {
        Object typed = value.matches("-?[0-9.]+") ? (Object) Double.valueOf(value) : value;

        assertRejected(key, json -> json.put(key, typed));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "lease_ms | 1199 | lease_ms: is shorter than two election times",
                "lease_ms | 5 | lease_ms: is not from 10 to 600000",
                "lease_ms | x | lease_ms: 'x' is not a number",
                "drift | 0.3 | drift: is not from 0 to 0.2",
                "name | d4 | name: 'd4' is not among the members",
                "name | a b | name: 'a b' is not up to 64 letters, digits, '.', '_' and '-'",
                "name | 5 | name: '5.0' is no text",
                "members | x | members: is not a list",
                "election_ms | x | election_ms: is not a list of two numbers, from and to",
                "duties | x | duties: is not an object",
                "colour | red | colour: is no key of this file"
            })
    void reportsTheKeyAndTheReason(String key, String value, String message) throws IOException {
        Object typed = value.matches("-?[0-9.]+") ? (Object) Double.valueOf(value) : value;

        assertEquals(message, rejection(json -> json.put(key, typed)).getMessage());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 4, 6, 9})
    void rejectsNumbersOfMembersOtherThanThreeFiveOrSeven(int count) throws IOException {
        JsonArray members = new JsonArray();
        for (int i = 1; i <= count; i++) {
            members.add(new JsonObject().put("name", "d" + i).put("address", "127.0.0.1:" + (7_000 + i)));
        }

        assertRejected("members", json -> json.put("members", members));
    }

    @Test
    void rejectsADuplicateMember() throws IOException {
        assertRejected(
                "members[1].name",
                json -> json.getJsonArray("members").getJsonObject(1).put("name", "d1"));
    }

    @Test
    void rejectsAMemberAddressWithAHostName() throws IOException {
        assertRejected(
                "members[2].address",
                json -> json.getJsonArray("members").getJsonObject(2).put("address", "d3:7003"));
    }

    @Test
    void rejectsAnElectionTimeoutThatIsNoRangeOrBelowThreeHeartbeats() throws IOException {
        assertRejected(
                "election_ms",
                json -> json.put("election_ms", new JsonArray().add(600).add(300)));
        assertRejected("election_ms", json -> json.put("election_ms", 300));
        assertRejected("election_ms", json -> json.put("heartbeat_ms", 101.0));
    }

    @Test
    void rejectsAMaintenanceBudgetWithoutExactlyOneLimit() throws IOException {
        assertRejected(
                "duties.maintenance.most", json -> json.getJsonObject("duties").put("maintenance", new JsonObject()));
        assertRejected("duties.maintenance.most", json -> maintenance(json).put("most", 1));
        assertRejected("duties.maintenance.beyond", json -> maintenance(json).put("beyond", "x"));
    }

    private static JsonObject maintenance(JsonObject json) {
        return json.getJsonObject("duties").getJsonObject("maintenance");
    }

    @Test
    void rejectsInvalidValuesOfTheQuotaLease() throws IOException {
        assertRejected("duties.quota.reserve", json -> quota(json).put("reserve", 0));
        assertRejected("duties.quota.loan_ms", json -> quota(json).put("loan_ms", "x"));
    }

    private static JsonObject quota(JsonObject json) {
        return json.getJsonObject("duties").getJsonObject("quota");
    }

    @Test
    void rejectsAnUnknownLease() throws IOException {
        ConfigException e = rejection(json -> json.getJsonObject("duties").put("sweeper", new JsonObject()));

        assertEquals("duties.sweeper: is no duty: there are maintenance and quota", e.getMessage());
    }
}
