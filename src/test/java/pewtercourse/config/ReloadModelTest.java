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

/** Reloads valid and invalid files in random order, and compares the configuration with the last valid file. */
class ReloadModelTest {
    private static final String[] NAMES = {"menu-media", "menu-page", "place-order", "menu-v2", "orders-v2"};

    private static JsonObject validFile(JsonObject example, Random random) {
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

    private static String invalidFile(JsonObject running, int fault, Random random) {
        JsonObject json = running.copy();
        JsonObject settings = json.getJsonObject("settings");
        JsonObject aClass = settings.getJsonArray("Classes").getJsonObject(0);
        String text = json.encode();
        return switch (fault) {
            case 0 -> "";
            case 1 -> text.substring(0, random.nextInt(text.length()));
            case 2 -> withoutOneKey(json, json, random);
            case 3 -> withoutOneKey(json, settings, random);
            case 4 -> withoutOneKey(json, aClass, random);
            case 5 -> withoutOneKey(json, settings.getJsonObject("Permissions"), random);
            case 6 -> changedText(json, () -> aClass.put("Deadline", -random.nextInt(2)));
            case 7 ->
                changedText(json, () -> settings.getJsonObject("Permissions").put("TryLimit", -random.nextInt(2)));
            case 8 -> changedText(json, () -> settings.put("Classes", new JsonArray()));
            default -> changedText(json, () -> settings.put("Domain", "none"));
        };
    }

    private static String changedText(JsonObject json, Runnable change) {
        change.run();
        return json.encode();
    }

    private static String withoutOneKey(JsonObject json, JsonObject section, Random random) {
        List<String> keys = new ArrayList<>(section.fieldNames());
        keys.removeAll(List.of("known", "seed", "AimStretch")); // Optional keys.
        section.remove(keys.get(random.nextInt(keys.size())));
        return json.encode();
    }

    @Property(tries = 300, seed = "7")
    void keepsTheLastValidFileInForceAndTheIndexesOfClasses(
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
                Files.writeString(file, invalidFile(running.source(), kind, random));
                assertThrows(ConfigException.class, () -> before.reread(env), "kind " + kind);
                assertSame(before, running);
                continue;
            }
            Files.writeString(file, validFile(example, random).encode());
            running = running.reread(env);
            SiteSettings previous = site;
            site = running.site().withClassIndexesOf(site);
            assertEquals(running.site().classes().keySet(), site.classes().keySet());
            for (String name : site.classes().keySet()) {
                Integer index = site.classes().get(name);
                if (previous.classes().containsKey(name)) {
                    assertEquals(previous.classes().get(name), index, "index changed: " + name);
                } else {
                    // Even if an earlier file had the class: its old statistics must not apply to the new one.
                    assertTrue(index >= previous.router().classes().size(), "a new class has an old index: " + name);
                }
                assertEquals(
                        running.site()
                                .router()
                                .classes()
                                .get(running.site().classes().get(name)),
                        site.router().classes().get(site.classes().get(name)));
            }
            List<RequestClass> currentClasses = site.router().classes();
            for (Map.Entry<String, Integer> removed : previous.classes().entrySet()) {
                if (!site.classes().containsKey(removed.getKey())) {
                    assertEquals(
                            previous.router().classes().get(removed.getValue()),
                            currentClasses.get(removed.getValue()),
                            "the class of requests in flight has changed");
                }
            }
            assertEquals(
                    running.site().router().retry().maxAttempts(),
                    site.router().retry().maxAttempts());
        }
        Files.delete(file);
    }
}
