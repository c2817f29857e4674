package pewtercourse.emulator;

import static pewtercourse.config.JsonFields.number;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;
import pewtercourse.config.JsonFields;

/**
 * Reads a scenario from a JSON file and plays it against directors, which the user starts with the configurations that
 * the scenario writes. The keys are {@code sites}, {@code seconds}, {@code seed} and {@code faults}. Each fault has
 * {@code at_s}, {@code what} (lose, revive, list, slow), {@code site}, for list also {@code health} and for slow also
 * {@code times}.
 */
public final class Scenario {
    private static final Map<String, String> RENAMED_KEYS = Map.of("bears", "capacity");

    private record Fault(double atS, String kind, String site, String health, double factor) {}

    private final List<Emulation.SiteSpec> sites = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final double seconds;
    private final long seed;

    private Scenario(JsonObject json) {
        JsonArray siteList = array("sites", json.getValue("sites"));
        List<String> directors = new ArrayList<>();
        for (int i = 0; i < siteList.size(); i++) {
            directors.add(text("sites[" + i + "].director", object(siteList, "sites", i).getValue("director")));
            DirectorConfig.address("sites[" + i + "].director", directors.get(i));
        }
        for (int i = 0; i < siteList.size(); i++) {
            JsonObject site = object(siteList, "sites", i);
            String key = "sites[" + i + "].";
            if (site.containsKey("bears")) {
                throw new ConfigException(key + "bears", JsonFields.unusable("bears", RENAMED_KEYS, ""));
            }
            List<String> order = new ArrayList<>(List.of(directors.get(i)));
            directors.stream().filter(a -> !a.equals(order.get(0))).forEach(order::add);
            sites.add(new Emulation.SiteSpec(
                    text(key + "name", site.getValue("name")),
                    (int) number(key + "caches", site.getValue("caches"), 3, 1, 64),
                    number(key + "capacity", site.getValue("capacity"), 6, 0.5, 1_000),
                    number(key + "requests_per_s", site.getValue("requests_per_s"), 20, 0.1, 500),
                    order));
        }
        if (sites.isEmpty()) {
            throw new ConfigException("sites", "there is none");
        }
        JsonArray faultList = json.getValue("faults") == null ? new JsonArray() : array("faults", json.getValue("faults"));
        for (int i = 0; i < faultList.size(); i++) {
            JsonObject fault = object(faultList, "faults", i);
            String key = "faults[" + i + "].";
            String kind = text(key + "what", fault.getValue("what"));
            String site = text(key + "site", fault.getValue("site"));
            if (!List.of("lose", "revive", "list", "slow").contains(kind)) {
                throw new ConfigException(key + "what", "'" + kind + "' is none of lose, revive, list, slow");
            }
            if (sites.stream().noneMatch(s -> s.name().equals(site))) {
                throw new ConfigException(key + "site", "'" + site + "' is no site of this file");
            }
            String health = fault.getString("health", "Gone");
            if (!List.of("Ready", "Terminating", "Gone").contains(health)) {
                throw new ConfigException(key + "health", "'" + health + "' is none of Ready, Terminating, Gone");
            }
            faults.add(new Fault(
                    number(key + "at_s", fault.getValue("at_s"), Double.NaN, 0, 86_400),
                    kind,
                    site,
                    health,
                    number(key + "times", fault.getValue("times"), 4, 0.1, 1_000)));
        }
        faults.sort(Comparator.comparingDouble(Fault::atS));
        seconds = number("seconds", json.getValue("seconds"), 60, 1, 86_400);
        seed = (long) number("seed", json.getValue("seed"), 1, 0, 1e15);
    }

    /** Reads a scenario; throws a ConfigException that names the first key with an unusable value. */
    public static Scenario fromFile(Path file) {
        try {
            return new Scenario(new JsonObject(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException("SCENARIO", "can't read '" + file + "': " + e.getMessage());
        } catch (io.vertx.core.json.DecodeException e) {
            throw new ConfigException("SCENARIO", "'" + file + "' is not JSON: " + e.getMessage());
        }
    }

    /**
     * Writes a configuration for the director of each site, waits until all of them listen, plays the faults and prints
     * the results. Returns whether all rules were kept and no cold cache collapsed.
     */
    public boolean play(Path outputFolder, PrintStream out) throws Exception {
        Files.createDirectories(outputFolder);
        try (Emulation emulation = new Emulation(sites, seed)) {
            for (Emulation.SiteSpec spec : sites) {
                Path file = outputFolder.resolve("director-" + spec.name() + ".json");
                Files.writeString(
                        file, emulation.config(spec.name(), spec.name(), spec.directors().get(0)).encodePrettily());
                out.println("for the director of " + spec.name() + ": GW_CONFIG=" + file);
            }
            for (Emulation.SiteSpec spec : sites) {
                awaitListening(spec.directors().get(0));
            }
            out.println("all directors listen: clients begin");
            emulation.startClients();
            long startedAtNanos = System.nanoTime();
            for (Fault fault : faults) {
                sleepUntil(startedAtNanos, fault.atS());
                out.printf("%6.1f s  %s %s%n", fault.atS(), fault.kind(), fault.site());
                switch (fault.kind()) {
                    case "lose" -> emulation.killCaches(fault.site());
                    case "revive" -> emulation.restartCaches(fault.site());
                    case "list" -> emulation.publishHealth(fault.site(), fault.health());
                    default -> emulation.slowDownCaches(fault.site(), fault.factor());
                }
            }
            sleepUntil(startedAtNanos, seconds);
            emulation.stopClients();
            for (int i = 0; i < 100 && emulation.openRequestCount() > 0; i++) {
                Thread.sleep(100);
            }
            out.print(emulation.results(EmulationResults::text));
            int coldOverloads = sites.stream().mapToInt(s -> emulation.coldOverloadCount(s.name())).sum();
            out.println("cold caches that fell: " + coldOverloads);
            return coldOverloads == 0 && emulation.results(results -> results.violations().isEmpty());
        }
    }

    private static void awaitListening(String director) throws Exception {
        InetSocketAddress address = DirectorConfig.address("director", director);
        while (true) {
            try (Socket connection = new Socket(address.getAddress(), address.getPort())) {
                return;
            } catch (IOException e) {
                Thread.sleep(100); // The user has not started it yet.
            }
        }
    }

    private static void sleepUntil(long startedAtNanos, double seconds) throws InterruptedException {
        long remainingMs = (long) (seconds * 1e3) - (System.nanoTime() - startedAtNanos) / 1_000_000;
        if (remainingMs > 0) {
            Thread.sleep(remainingMs);
        }
    }

    private static JsonArray array(String key, Object value) {
        if (!(value instanceof JsonArray array)) {
            throw new ConfigException(key, "is not a list");
        }
        return array;
    }

    private static JsonObject object(JsonArray list, String key, int i) {
        if (!(list.getValue(i) instanceof JsonObject object)) {
            throw new ConfigException(key + "[" + i + "]", "is not an object");
        }
        return object;
    }

    private static String text(String key, Object value) {
        if (!(value instanceof String text) || text.isEmpty()) {
            throw new ConfigException(key, value == null ? "missing" : "'" + value + "' is no text");
        }
        return text;
    }
}
