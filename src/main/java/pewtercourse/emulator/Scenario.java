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
 * A scenario from a file (JSON), played against directors that somebody starts with the configurations that it writes:
 * {@code sites}, {@code seconds}, {@code seed} and {@code faults}, each with {@code at_s}, {@code what} (lose, revive, list,
 * slow), {@code site} and, for list, {@code health}, for slow, {@code times}.
 */
public final class Scenario {
    private static final Map<String, String> RENAMED = Map.of("bears", "capacity");

    private record Fault(double atS, String what, String site, String health, double times) {}

    private final List<Emulation.SiteSpec> sites = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final double seconds;

    private final long seed;

    private Scenario(JsonObject json) {
        JsonArray list = array("sites", json.getValue("sites"));
        List<String> all = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            all.add(text("sites[" + i + "].director", object(list, "sites", i).getValue("director")));
            DirectorConfig.address("sites[" + i + "].director", all.get(i));
        }
        for (int i = 0; i < list.size(); i++) {
            JsonObject s = object(list, "sites", i);
            String key = "sites[" + i + "].";
            if (s.containsKey("bears")) {
                throw new ConfigException(key + "bears", JsonFields.unusable("bears", RENAMED, ""));
            }
            List<String> order = new ArrayList<>(List.of(all.get(i)));
            all.stream().filter(a -> !a.equals(order.get(0))).forEach(order::add);
            sites.add(new Emulation.SiteSpec(
                    text(key + "name", s.getValue("name")),
                    (int) number(key + "caches", s.getValue("caches"), 3, 1, 64),
                    number(key + "capacity", s.getValue("capacity"), 6, 0.5, 1_000),
                    number(key + "requests_per_s", s.getValue("requests_per_s"), 20, 0.1, 500),
                    order));
        }
        if (sites.isEmpty()) {
            throw new ConfigException("sites", "there is none");
        }
        JsonArray given = json.getValue("faults") == null ? new JsonArray() : array("faults", json.getValue("faults"));
        for (int i = 0; i < given.size(); i++) {
            JsonObject f = object(given, "faults", i);
            String key = "faults[" + i + "].",
                    what = text(key + "what", f.getValue("what")),
                    site = text(key + "site", f.getValue("site"));
            if (!List.of("lose", "revive", "list", "slow").contains(what)) {
                throw new ConfigException(key + "what", "'" + what + "' is none of lose, revive, list, slow");
            }
            if (sites.stream().noneMatch(s -> s.name().equals(site))) {
                throw new ConfigException(key + "site", "'" + site + "' is no site of this file");
            }
            String health = f.getString("health", "Gone");
            if (!List.of("Ready", "Terminating", "Gone").contains(health)) {
                throw new ConfigException(key + "health", "'" + health + "' is none of Ready, Terminating, Gone");
            }
            faults.add(new Fault(
                    number(key + "at_s", f.getValue("at_s"), Double.NaN, 0, 86_400),
                    what,
                    site,
                    health,
                    number(key + "times", f.getValue("times"), 4, 0.1, 1_000)));
        }
        faults.sort(Comparator.comparingDouble(Fault::atS));
        seconds = number("seconds", json.getValue("seconds"), 60, 1, 86_400);
        seed = (long) number("seed", json.getValue("seed"), 1, 0, 1e15);
    }

    /** Throws a ConfigException that names the first key that can't be used. */
    public static Scenario fromFile(Path file) {
        try {
            return new Scenario(new JsonObject(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException("SCENARIO", "can't read '" + file + "': " + e.getMessage());
        } catch (io.vertx.core.json.DecodeException e) {
            throw new ConfigException("SCENARIO", "'" + file + "' is not JSON: " + e.getMessage());
        }
    }

    /** Writes a configuration for each site's director, waits for them, plays, and tells. True if all rules were kept. */
    public boolean play(Path into, PrintStream out) throws Exception {
        Files.createDirectories(into);
        try (Emulation e = new Emulation(sites, seed)) {
            for (Emulation.SiteSpec s : sites) {
                Path file = into.resolve("director-" + s.name() + ".json");
                Files.writeString(
                        file, e.config(s.name(), s.name(), s.directors().get(0)).encodePrettily());
                out.println("for the director of " + s.name() + ": GW_CONFIG=" + file);
            }
            for (Emulation.SiteSpec s : sites) {
                await(s.directors().get(0));
            }
            out.println("all directors listen: clients begin");
            e.startClients();
            long began = System.nanoTime();
            for (Fault f : faults) {
                sleepUntil(began, f.atS());
                out.printf("%6.1f s  %s %s%n", f.atS(), f.what(), f.site());
                switch (f.what()) {
                    case "lose" -> e.killCaches(f.site());
                    case "revive" -> e.restartCaches(f.site());
                    case "list" -> e.publishHealth(f.site(), f.health());
                    default -> e.slowDownCaches(f.site(), f.times());
                }
            }
            sleepUntil(began, seconds);
            e.stopClients();
            for (int i = 0; i < 100 && e.openRequestCount() > 0; i++) {
                Thread.sleep(100);
            }
            out.print(e.results(EmulationResults::text));
            int falls = sites.stream().mapToInt(s -> e.coldOverloadCount(s.name())).sum();
            out.println("cold caches that fell: " + falls);
            return falls == 0 && e.results(f -> f.violations().isEmpty());
        }
    }

    private static void await(String director) throws Exception {
        InetSocketAddress at = DirectorConfig.address("director", director);
        while (true) {
            try (Socket s = new Socket(at.getAddress(), at.getPort())) {
                return;
            } catch (IOException e) {
                Thread.sleep(100); // Somebody is about to start it.
            }
        }
    }

    private static void sleepUntil(long began, double seconds) throws InterruptedException {
        long left = (long) (seconds * 1e3) - (System.nanoTime() - began) / 1_000_000;
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private static JsonArray array(String key, Object v) {
        if (!(v instanceof JsonArray a)) {
            throw new ConfigException(key, "is not a list");
        }
        return a;
    }

    private static JsonObject object(JsonArray of, String key, int i) {
        if (!(of.getValue(i) instanceof JsonObject o)) {
            throw new ConfigException(key + "[" + i + "]", "is not an object");
        }
        return o;
    }

    private static String text(String key, Object v) {
        if (!(v instanceof String s) || s.isEmpty()) {
            throw new ConfigException(key, v == null ? "missing" : "'" + v + "' is no text");
        }
        return s;
    }
}
