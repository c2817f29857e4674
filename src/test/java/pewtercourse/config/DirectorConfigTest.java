package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.ExampleConfig;
import pewtercourse.decision.EndpointLifecycle;

class DirectorConfigTest {
    private static JsonObject example() throws Exception {
        return ExampleConfig.json();
    }

    @Test
    void convertsTheExampleToTheUnitsOfTheDecisionPackage() throws Exception {
        DirectorConfig config = DirectorConfig.read(Map.of("GW_NAME", "n7"), example());
        assertEquals("n7", config.name());
        assertEquals(8443, config.listen().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(400_000, config.site().connectTimeoutMicros());
        assertEquals(
                Map.of("menu-media", 0, "menu-page", 1, "place-order", 2),
                config.site().classes());
        assertEquals(8_000_000, config.site().router().classes().get(1).freshnessLifetime());
        assertTrue(config.site().router().classes().get(2).uncacheable());
        assertEquals(1, config.site().router().topology().zone());
        assertEquals("parent", config.site().parentKind());
    }

    @Test
    void flattensNestedSettingsToTheSimulatorsPairs() {
        Map<String, String> flat = DirectorConfig.flatten(new JsonObject()
                .put("A", new JsonObject().put("B", 1.5))
                .put("L", new JsonArray().add("x y").add(2))
                .put("E", new JsonArray())
                .put("O", new JsonArray().add(new JsonObject().put("N", "a"))));
        assertEquals(Map.of("A.B", "1.5", "L", "x y\u001f2", "E", "", "O.count", "1", "O.0.N", "a"), flat);
    }

    // Blanks and commas were once replaced by underscores. Such a class was then unknown to its clients, and
    // such a zone had no caches.
    @Test
    void keepsAllCharactersOfNamesAndRejectsControlCharacters() throws Exception {
        JsonObject json = example();
        JsonObject settings = json.getJsonObject("settings");
        settings.getJsonArray("Classes").getJsonObject(0).put("Name", "menú, del día");
        settings.put("Zones", new JsonArray().add("a").add("nord, süd")).put("Zone", "nord, süd");
        SiteSettings site = DirectorConfig.read(Map.of(), json).site();
        assertEquals(0, site.classes().get("menú, del día"));
        assertEquals(1, site.router().topology().zone());
        assertEquals(
                1,
                site.endpoint(7, "nord, süd", "std", 0, EndpointLifecycle.READY, 0, 0)
                        .zone());
        settings.getJsonArray("Classes").getJsonObject(0).put("Name", "menu\u001fpage");
        Exception e = assertThrows(ConfigException.class, () -> DirectorConfig.read(Map.of(), json));
        assertTrue(e.getMessage().startsWith("settings.Classes.0.Name:"), e.getMessage());
    }

    @Test
    void givesAReaddedClassANewIndexAndKeepsTheOthers() throws Exception {
        SiteSettings allClasses = DirectorConfig.read(Map.of(), example()).site();
        JsonObject json = example();
        json.getJsonObject("settings").getJsonArray("Classes").remove(1); // menu-page
        SiteSettings withoutOne = DirectorConfig.read(Map.of(), json).site().withClassIndexesOf(allClasses);
        assertEquals(Map.of("menu-media", 0, "place-order", 2), withoutOne.classes());
        assertEquals(
                Map.of("menu-media", 0, "menu-page", 3, "place-order", 2),
                allClasses.withClassIndexesOf(withoutOne).classes());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "listen | \"nowhere\" | GW_LISTEN",
                "listen | 5 | listen",
                "feed | \"feed.example:80\" | feed",
                "peers | [\"10.0.0.1\"] | peers[0]",
                "peer_listen | \"10.0.0.1:0\" | peer_listen",
                "seed | \"xyz\" | seed",
                "known | [] | known",
                "known | {\"n\":\"one\"} | known.n",
                "limits | {\"sockets\":\"many\"} | limits.sockets",
                "settings | null | settings",
                "settings | {} | settings.Classes",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":\"soon\"}]} | Classes.0.Aim",
                "settings | {\"Classes\":[{\"Aim\":1,\"Deadline\":1}]} | settings.Classes.0.Name",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":1}]} | settings.Classes.0.Deadline",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":1,\"Deadline\":-5}]} | settings.Classes.0.Deadline",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":1,\"Deadline\":1,\"Effect\":\"none\"}]} | settings.Classes.0.Effect",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":1,\"Deadline\":1},{\"Name\":\"a\",\"Aim\":1,\"Deadline\":1}]} | settings.Classes.0.Name",
                "settings | {\"Classes\":[{\"Name\":\"a\",\"Aim\":1,\"Deadline\":1}],\"Permissions\":{\"TryLimit\":0}} | settings.Permissions.TryLimit"
            })
    void beginsAMessageWithTheInvalidKey(String key, String value, String expectedKey) throws Exception {
        JsonObject json = example().put(key, new JsonArray("[" + value + "]").getValue(0));
        Exception e = assertThrows(ConfigException.class, () -> DirectorConfig.read(Map.of(), json));
        assertTrue(e.getMessage().startsWith(expectedKey + ":"), e.getMessage());
    }

    @Test
    void namesTheVariableOfAMissingFile() {
        Exception e = assertThrows(
                ConfigException.class, () -> DirectorConfig.fromEnvironment(Map.of("GW_CONFIG", "no/such/file")));
        assertTrue(e.getMessage().startsWith("GW_CONFIG:"), e.getMessage());
        assertThrows(ConfigException.class, () -> DirectorConfig.fromEnvironment(Map.of()));
    }

    @Test
    void listsTheChangedKeysThatNeedARestart() throws Exception {
        DirectorConfig old = DirectorConfig.read(Map.of(), example());
        JsonObject json =
                example().put("feed", "127.0.0.1:2380").put("seed", "1").put("listen", "127.0.0.1:1");
        json.getJsonObject("settings").put("Me", 1);
        assertEquals(
                java.util.List.of("listen"), DirectorConfig.read(Map.of(), json).keysNeedingRestart(old));
    }

    @Test
    void startsWithFleetOnlyWhileTheListIsTheFirstVersion() throws Exception {
        JsonObject json = example();
        JsonObject members = json.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members");
        members.put("seq", 0);
        assertTrue(DirectorConfig.read(Map.of(), json).startsWithFleet());
        members.put("seq", 8);
        assertEquals(false, DirectorConfig.read(Map.of(), json).startsWithFleet());
    }

    @Test
    void dividesTheDescriptorsBetweenClientsAndCaches() throws Exception {
        for (int sockets : new int[] {256, 384, 1024}) {
            JsonObject json = example().put("limits", new JsonObject().put("sockets", sockets));
            DirectorConfig config = DirectorConfig.read(Map.of(), json);
            assertTrue(config.maxClientConnections() > sockets / 3, "fewer than the share of clients");
            assertTrue(
                    config.maxClientConnections() + config.maxCacheConnections() + 32 <= sockets,
                    "no descriptors left for the program");
            assertTrue(config.maxCacheConnections() > sockets / 3, "too few connections to caches");
        }
    }
}
