package pewtercourse.config;

import static pewtercourse.config.JsonFields.number;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.failover.FailoverTiming;
import pewtercourse.failover.Site;
import pewtercourse.failover.Sites;

/** The file that GW_SITES names (JSON): the sites, who may serve whose clients, and how losses are judged. */
public final class SitesConfig {
    private static final Set<String> KEYS =
            Set.of("lost_after_ms", "back_after_ms", "flap_most_ms", "step_ms", "steps", "miss", "sites");
    private static final Set<String> SITE_KEYS =
            Set.of("name", "hub", "directors", "capacity", "spare_share", "reserved_share", "link", "takers");
    private static final Set<String> TAKER_KEYS = Set.of("site", "distance");
    private static final Map<String, String> RENAMED =
            Map.of("bears", "capacity", "lends", "spare_share", "floor", "reserved_share");
    private static final long FRESH = 3_000_000;

    private SitesConfig() {}

    /** Throws a ConfigException that names the first key that can't be used. */
    public static Sites fromFile(Path path) {
        try {
            return read(new JsonObject(Files.readString(path)));
        } catch (IOException e) {
            throw new ConfigException("GW_SITES", "can't read '" + path + "': " + e.getMessage());
        } catch (DecodeException e) {
            throw new ConfigException("GW_SITES", "'" + path + "' is not JSON: " + e.getMessage());
        }
    }

    static Sites read(JsonObject json) {
        known("", json, KEYS);
        long lostAfter = millis(json, "lost_after_ms", 1_500, 100, 60_000);
        long back = millis(json, "back_after_ms", 3_000, 100, 600_000);
        long flapMost = millis(json, "flap_most_ms", 120_000, 100, 3_600_000);
        if (flapMost < back) {
            throw new ConfigException("flap_most_ms", "is shorter than back_after_ms");
        }
        SortedMap<String, Site> sites = new TreeMap<>();
        JsonArray list = list("sites", json.getValue("sites"));
        List<Site> inOrder = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            String key = "sites[" + i + "].";
            Site s = site(key, object(key, list.getValue(i)));
            if (sites.put(s.name(), s) != null) {
                throw new ConfigException(key + "name", "'" + s.name() + "' is there twice");
            }
            inOrder.add(s);
        }
        if (sites.size() < 2 || sites.size() > Sites.MAX_SITES) {
            throw new ConfigException("sites", "are " + sites.size() + ": 2 to " + Sites.MAX_SITES + " are of use");
        }
        together(inOrder, sites);
        return new Sites(
                sites,
                number("miss", json.getValue("miss"), 0.5, 0.01, 1),
                new FailoverTiming(
                        lostAfter,
                        back,
                        flapMost,
                        millis(json, "step_ms", 2_000, 100, 600_000),
                        steps(json.getValue("steps")),
                        FRESH));
    }

    // What one site says of others.
    private static void together(List<Site> inOrder, SortedMap<String, Site> sites) {
        Set<String> placed = new HashSet<>();
        for (int i = 0; i < inOrder.size(); i++) {
            Site s = inOrder.get(i);
            String key = "sites[" + i + "].";
            for (int t = 0; t < s.failoverTargets().size(); t++) {
                String to = s.failoverTargets().get(t).site();
                if (!sites.containsKey(to) || to.equals(s.name())) {
                    throw new ConfigException(
                            key + "takers[" + t + "].site",
                            "'" + to + "' is " + (to.equals(s.name()) ? "the site itself" : "no site of this file"));
                }
            }
            for (String d : s.directors()) {
                if (!placed.add(d)) {
                    throw new ConfigException(key + "directors", "'" + d + "' stands at two sites");
                }
            }
        }
    }

    private static Site site(String key, JsonObject s) {
        known(key, s, SITE_KEYS);
        String name = text(key + "name", s.getValue("name"), null);
        Set<String> directors = new HashSet<>();
        JsonArray list =
                s.getValue("directors") == null ? new JsonArray() : list(key + "directors", s.getValue("directors"));
        for (int i = 0; i < list.size(); i++) {
            if (!directors.add(text(key + "directors[" + i + "]", list.getValue(i), null))) {
                throw new ConfigException(key + "directors[" + i + "]", "is there twice");
            }
        }
        List<Site.FailoverTarget> takers = new ArrayList<>();
        JsonArray given = s.getValue("takers") == null ? new JsonArray() : list(key + "takers", s.getValue("takers"));
        Set<String> once = new HashSet<>();
        for (int i = 0; i < given.size(); i++) {
            String at = key + "takers[" + i + "].";
            JsonObject t = object(at, given.getValue(i));
            known(at, t, TAKER_KEYS);
            takers.add(new Site.FailoverTarget(
                    text(at + "site", t.getValue("site"), null),
                    number(at + "distance", t.getValue("distance"), 1, 0.001, 1_000_000)));
            if (!once.add(takers.get(i).site())) {
                throw new ConfigException(at + "site", "is there twice");
            }
        }
        return new Site(
                name,
                text(key + "hub", s.getValue("hub"), ""),
                Set.copyOf(directors),
                number(key + "capacity", s.getValue("capacity"), Double.NaN, 0.001, 1_000_000),
                number(key + "spare_share", s.getValue("spare_share"), 0.5, 0, 1),
                number(key + "reserved_share", s.getValue("reserved_share"), 0.5, 0, 1),
                number(key + "link", s.getValue("link"), 0, 0, 1_000_000),
                List.copyOf(takers));
    }

    private static List<Double> steps(Object value) {
        if (value == null) {
            return List.of(0.15, 0.3, 0.5, 0.75, 1.0);
        }
        JsonArray list = list("steps", value);
        List<Double> steps = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            steps.add(number("steps[" + i + "]", list.getValue(i), Double.NaN, 0.001, 1));
            if (i > 0 && steps.get(i) <= steps.get(i - 1)) {
                throw new ConfigException("steps[" + i + "]", "does not grow");
            }
        }
        if (steps.isEmpty() || steps.get(steps.size() - 1) != 1 || steps.size() > 100) {
            throw new ConfigException("steps", "do not end at 1, or are over 100");
        }
        return List.copyOf(steps);
    }

    private static void known(String key, JsonObject o, Set<String> keys) {
        o.fieldNames().stream()
                .filter(k -> !keys.contains(k))
                .sorted()
                .findFirst()
                .ifPresent(k -> {
                    throw new ConfigException(key + k, JsonFields.unusable(k, RENAMED, "is no key of this file"));
                });
    }

    private static JsonArray list(String key, Object v) {
        if (!(v instanceof JsonArray a)) {
            throw new ConfigException(key, "is not a list");
        }
        return a;
    }

    private static JsonObject object(String key, Object v) {
        if (!(v instanceof JsonObject o)) {
            throw new ConfigException(key, "is not an object");
        }
        return o;
    }

    // {@code otherwise} null: it has to be there.
    private static String text(String key, Object v, String otherwise) {
        if (v == null && otherwise != null) {
            return otherwise;
        }
        if (!(v instanceof String s) || !s.matches("[A-Za-z0-9._-]{1,64}")) {
            throw new ConfigException(
                    key, v == null ? "missing" : "'" + v + "' is not up to 64 letters, digits, '.', '_' and '-'");
        }
        return s;
    }

    /** In microseconds. */
    private static long millis(JsonObject json, String key, long otherwise, long least, long most) {
        return (long) (number(key, json.getValue(key), otherwise, least, most) * 1_000);
    }
}
