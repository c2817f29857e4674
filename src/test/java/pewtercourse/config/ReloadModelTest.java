package pewtercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import pewtercourse.ExampleConfig;
import pewtercourse.decision.RequestClass;

/** Files at SIGHUP, good and broken in any order, against the last good one. */
class ReloadModelTest {
    private static final String[] NAMES = {"menu-media", "menu-page", "place-order", "menu-v2", "orders-v2"};

    private static JsonObject good(JsonObject example, Random random) {
        JsonObject json = example.copy();
        List<JsonObject> classes = new ArrayList<>();
        for (String name : NAMES) {
            if (random.nextBoolean() || classes.isEmpty() && name.equals("orders-v2")) {
                classes.add(new JsonObject()
                        .put("Name", name)
                        .put("Effect", random.nextBoolean() ? "pure" : "side_effect")
                        .put("Aim", 1 + random.nextInt(900))
                        .put("Deadline", 1000 + random.nextInt(900))
                        .put("Worth", 1.0));
            }
        }
        java.util.Collections.shuffle(classes, random);
        json.getJsonObject("settings").put("Classes", new JsonArray(classes));
        json.getJsonObject("settings").getJsonObject("Permissions").put("TryLimit", 1 + random.nextInt(6));
        return json;
    }

    private static String broken(JsonObject running, int how, Random random) {
        JsonObject json = running.copy();
        JsonObject settings = json.getJsonObject("settings");
        JsonObject aClass = settings.getJsonArray("Classes").getJsonObject(0);
        String text = json.encode();
        return switch (how) {
            case 0 -> "";
            case 1 -> text.substring(0, random.nextInt(text.length()));
            case 2 -> lacking(json, json, random);
            case 3 -> lacking(json, settings, random);
            case 4 -> lacking(json, aClass, random);
            case 5 -> lacking(json, settings.getJsonObject("Permissions"), random);
            case 6 -> text(json, () -> aClass.put("Deadline", -random.nextInt(2)));
            case 7 -> text(json, () -> settings.getJsonObject("Permissions").put("TryLimit", -random.nextInt(2)));
            case 8 -> text(json, () -> settings.put("Classes", new JsonArray()));
            default -> text(json, () -> settings.put("Domain", "none"));
        };
    }

    private static String text(JsonObject json, Runnable change) {
        change.run();
        return json.encode();
    }

    private static String lacking(JsonObject json, JsonObject of, Random random) {
        List<String> keys = new ArrayList<>(of.fieldNames());
        keys.removeAll(List.of("known", "seed", "AimStretch")); // These may be missing.
        of.remove(keys.get(random.nextInt(keys.size())));
        return json.encode();
    }

    @Property(tries = 300, seed = "7")
    void theLastGoodFileIsInForceWholeAndClassesKeepTheirPlaces(
            @ForAll @Size(max = 12) List<@IntRange(max = 19) Integer> files, @ForAll long seed) throws Exception {
        Random random = new Random(seed);
        JsonObject example = ExampleConfig.json();
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> env = Map.of("GW_CONFIG", file.toString());
        DirectorConfig running = DirectorConfig.read(env, example);
        SiteSettings site = running.site();
        for (int kind : files) {
            DirectorConfig before = running;
            if (kind < 10) {
                Files.writeString(file, broken(running.source(), kind, random));
                assertThrows(ConfigException.class, () -> before.reread(env), "kind " + kind);
                assertSame(before, running);
                continue;
            }
            Files.writeString(file, good(example, random).encode());
            running = running.reread(env);
            SiteSettings was = site;
            site = running.site().withClassIndexesOf(site);
            assertEquals(running.site().classes().keySet(), site.classes().keySet());
            for (String name : site.classes().keySet()) {
                Integer place = site.classes().get(name);
                if (was.classes().containsKey(name)) {
                    assertEquals(was.classes().get(name), place, "moved: " + name);
                } else {
                    // Also where it was there earlier: nothing that was learned of it then may count now.
                    assertTrue(place >= was.router().classes().size(), "an old place for a new class: " + name);
                }
                assertEquals(
                        running.site()
                                .router()
                                .classes()
                                .get(running.site().classes().get(name)),
                        site.router().classes().get(site.classes().get(name)));
            }
            List<RequestClass> all = site.router().classes();
            for (Map.Entry<String, Integer> gone : was.classes().entrySet()) {
                if (!site.classes().containsKey(gone.getKey())) {
                    assertEquals(
                            was.router().classes().get(gone.getValue()),
                            all.get(gone.getValue()),
                            "under way, and changed");
                }
            }
            assertEquals(
                    running.site().router().retry().maxAttempts(),
                    site.router().retry().maxAttempts());
        }
        Files.delete(file);
    }
}
