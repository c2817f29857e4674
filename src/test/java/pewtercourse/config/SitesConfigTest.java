package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.failover.FailoverTiming;
import pewtercourse.failover.Site;
import pewtercourse.failover.Sites;

class SitesConfigTest {
    private static final String VALID =
            "{'sites': [{'name': 'a', 'capacity': 20, 'directors': ['d1'], 'takers': [{'site': 'b'}]},"
                    + " {'name': 'b', 'capacity': 10, 'directors': ['d2'], 'takers': []}]}";

    private static Sites read(String json) {
        return SitesConfig.read(new JsonObject(json.replace('\'', '"')));
    }

    @Test
    void readsTheShippedFile() {
        Sites shipped = SitesConfig.fromFile(Path.of("deploy/sites.json"));

        assertTrue(shipped.byName().size() >= 3);
    }

    @Test
    void usesDefaultsForAbsentKeys() {
        Sites sites = read(VALID);

        assertEquals(2, sites.byName().size());
        assertEquals(0.5, sites.guestMissRatio());
        assertEquals(
                new FailoverTiming(
                        1_500_000, 3_000_000, 120_000_000, 2_000_000, List.of(0.15, 0.3, 0.5, 0.75, 1.0), 3_000_000),
                sites.timing());
        Site first = sites.byName().get("a");
        assertEquals("", first.hub());
        assertEquals(0.5, first.spareShare());
        assertEquals(0.5, first.reservedShare());
        assertEquals(0, first.fillCapacity());
        assertEquals(List.of(new Site.FailoverTarget("b", 1)), first.failoverTargets());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "'capacity': 20 | 'capacity': 0 | sites[0].capacity",
                "'capacity': 20 | 'beers': 20 | sites[0].beers",
                "'capacity': 20 | 'spare_share': 2, 'capacity': 1 | sites[0].spare_share",
                "'site': 'b' | 'site': 'a' | sites[0].takers[0].site",
                "'site': 'b' | 'site': 'x' | sites[0].takers[0].site",
                "'name': 'b' | 'name': 'a' | sites[1].name",
                "'d2' | 'd1' | sites[1].directors",
                "{'sites' | {'steps': [0.5, 0.4, 1], 'sites' | steps[1]",
                "{'sites' | {'steps': [0.5], 'sites' | steps",
                "{'sites' | {'lost_after_ms': 'x', 'sites' | lost_after_ms",
                "{'sites' | {'flap_most_ms': 1000, 'back_after_ms': 2000, 'sites' | flap_most_ms",
                "{'sites' | {'site': 1, 'sites' | site",
                "'name': 'b' | 'name': 'a b' | sites[1].name",
                "'directors': ['d1'] | 'directors': 'd1' | sites[0].directors"
            })
    void namesTheInvalidKey(String part, String replacement, String key) {
        String json = VALID.replace(part.trim(), replacement.trim());

        ConfigException e = assertThrows(ConfigException.class, () -> read(json));

        assertTrue(
                e.getMessage().startsWith(key.trim() + ":") || e.getMessage().startsWith(key.trim() + " "),
                e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "'capacity': 20 | 'capacity': 0 | sites[0].capacity: is not from 0.001 to 1000000.0",
                "'capacity': 20 | 'hub': 'h' | sites[0].capacity: missing",
                "'capacity': 20 | 'capacity': 'x' | sites[0].capacity: 'x' is not a number",
                "'site': 'b' | 'site': 'a' | sites[0].takers[0].site: 'a' is the site itself",
                "'site': 'b' | 'site': 'x' | sites[0].takers[0].site: 'x' is no site of this file",
                "'name': 'b' | 'name': 'a' | sites[1].name: 'a' is there twice",
                "'d2' | 'd1' | sites[1].directors: 'd1' stands at two sites",
                "['d2'] | ['d2', 'd2'] | sites[1].directors[1]: is there twice",
                "{'site': 'b'} | 1 | sites[0].takers[0].: is not an object",
                "{'sites' | {'steps': [0.5], 'sites' | steps: do not end at 1, or are over 100",
                "{'sites' | {'lost_after_ms': 1, 'sites' | lost_after_ms: is not from 100.0 to 60000.0"
            })
    void reportsTheKeyAndTheReason(String part, String replacement, String message) {
        String json = VALID.replace(part.trim(), replacement.trim());

        ConfigException e = assertThrows(ConfigException.class, () -> read(json));

        assertEquals(message.trim(), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({"capacity, bears", "spare_share, lends", "reserved_share, floor"})
    void rejectsAFormerKeyAndNamesThePresentOne(String present, String former) {
        String json = VALID.replace("'capacity': 20", "'capacity': 20, 'spare_share': 0.5, 'reserved_share': 0.5")
                .replace("'" + present + "'", "'" + former + "'");

        ConfigException e = assertThrows(ConfigException.class, () -> read(json));

        assertEquals("sites[0]." + former + ": is called '" + present + "' now", e.getMessage());
    }

    @Test
    void rejectsSitesWithoutACluster(@TempDir Path folder) throws IOException {
        Path file = Files.createFile(folder.resolve("sites.json"));

        assertThrows(ConfigException.class, () -> ClusterConfig.fromEnvironment(Map.of("GW_SITES", file.toString())));
    }

    @Test
    void rejectsAnEmptyFile(@TempDir Path folder) throws IOException {
        Path file = Files.createFile(folder.resolve("sites.json"));

        assertThrows(ConfigException.class, () -> SitesConfig.fromFile(file));
    }
}
