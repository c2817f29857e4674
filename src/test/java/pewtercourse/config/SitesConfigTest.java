package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.failover.Sites;

class SitesConfigTest {
    private static final String GOOD =
            "{'sites': [{'name': 'a', 'capacity': 20, 'directors': ['d1'], 'takers': [{'site': 'b'}]},"
                    + " {'name': 'b', 'capacity': 10, 'directors': ['d2'], 'takers': []}]}";

    private static Sites read(String json) {
        return SitesConfig.read(new JsonObject(json.replace('\'', '"')));
    }

    @Test
    void theOperatorsFileIsTakenAndDefaultsAreFilledIn() throws Exception {
        assertEquals(2, read(GOOD).byName().size());
        assertEquals(0.5, read(GOOD).byName().get("a").spareShare());
        Sites shipped = SitesConfig.fromFile(Path.of("deploy/sites.json"));
        assertTrue(shipped.byName().size() >= 3);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "'capacity': 20 | 'capacity': 0 | sites[0].capacity", "'capacity': 20 | 'beers': 20 | sites[0].beers",
                "'capacity': 20 | 'spare_share': 2, 'capacity': 1 | sites[0].spare_share",
                        "'site': 'b' | 'site': 'a' | sites[0].takers[0].site",
                "'site': 'b' | 'site': 'x' | sites[0].takers[0].site", "'name': 'b' | 'name': 'a' | sites[1].name",
                "'d2' | 'd1' | sites[1].directors", "{'sites' | {'steps': [0.5, 0.4, 1], 'sites' | steps[1]",
                "{'sites' | {'steps': [0.5], 'sites' | steps",
                        "{'sites' | {'lost_after_ms': 'x', 'sites' | lost_after_ms",
                "{'sites' | {'flap_most_ms': 1000, 'back_after_ms': 2000, 'sites' | flap_most_ms",
                        "{'sites' | {'site': 1, 'sites' | site",
                "'name': 'b' | 'name': 'a b' | sites[1].name",
                        "'directors': ['d1'] | 'directors': 'd1' | sites[0].directors"
            })
    void whatCannotBeUsedIsNamed(String part, String instead, String key) {
        String json = GOOD.replace(part.trim(), instead.trim());
        ConfigException e = assertThrows(ConfigException.class, () -> read(json));
        assertTrue(
                e.getMessage().startsWith(key.trim() + ":") || e.getMessage().startsWith(key.trim() + " "),
                e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({"capacity, bears", "spare_share, lends", "reserved_share, floor"})
    void aKeyByItsOldNameIsRefusedWithTheNewOne(String now, String old) {
        String json = GOOD.replace("'capacity': 20", "'capacity': 20, 'spare_share': 0.5, 'reserved_share': 0.5")
                .replace("'" + now + "'", "'" + old + "'");
        ConfigException e = assertThrows(ConfigException.class, () -> read(json));
        assertEquals("sites[0]." + old + ": is called '" + now + "' now", e.getMessage());
    }

    @Test
    void sitesNeedDirectorsThatAgree() throws Exception {
        Path file = Files.createTempFile("sites", ".json");
        assertThrows(ConfigException.class, () -> ClusterConfig.fromEnvironment(Map.of("GW_SITES", file.toString())));
        assertThrows(ConfigException.class, () -> SitesConfig.fromFile(file));
    }
}
