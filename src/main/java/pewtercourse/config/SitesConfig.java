package pewtercourse.config;

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

/**
 * Reads the JSON file that the environment variable GW_SITES names: the sites, which of them may serve the clients of
 * which others, and the timing of failover. Times in the file are milliseconds.
 */
public final class SitesConfig {
    private static final Set<String> FILE_KEYS =
            Set.of("lost_after_ms", "back_after_ms", "flap_most_ms", "step_ms", "steps", "miss", "sites");
    private static final Set<String> SITE_KEYS =
            Set.of("name", "hub", "directors", "capacity", "spare_share", "reserved_share", "link", "takers");
    private static final Set<String> TARGET_KEYS = Set.of("site", "distance");
    private static final Map<String, String> RENAMED_KEYS =
            Map.of("bears", "capacity", "lends", "spare_share", "floor", "reserved_share");

    private static final int MIN_SITES = 2;
    private static final int MAX_STEPS = 100;
    private static final double MAX_LOAD = 1_000_000;
    private static final double MIN_POSITIVE = 0.001;
    private static final double MINUTE_MILLIS = 60_000;
    private static final double HOUR_MILLIS = 60 * MINUTE_MILLIS;
    private static final double MIN_MILLIS = 100;
    private static final List<Double> DEFAULT_STEPS = List.of(0.15, 0.3, 0.5, 0.75, 1.0);
    private static final long OBSERVATION_LIFETIME_MICROS = 3_000_000;

    private SitesConfig() {}

    /**
     * Reads the sites from a file.
     *
     * @throws ConfigException if a key is invalid (the message names the first one), or if the file can't be read (the
     *     message names GW_SITES)
     */
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
        JsonSection file = new JsonSection("", json);
        file.requireKnownKeys(FILE_KEYS, RENAMED_KEYS);
        long lossDelay = file.micros("lost_after_ms", 1_500, MIN_MILLIS, MINUTE_MILLIS);
        long recoveryDelay = file.micros("back_after_ms", 3_000, MIN_MILLIS, 10 * MINUTE_MILLIS);
        long maxRecoveryDelay = file.micros("flap_most_ms", 2 * MINUTE_MILLIS, MIN_MILLIS, HOUR_MILLIS);
        if (maxRecoveryDelay < recoveryDelay) {
            throw file.invalid("flap_most_ms", "is shorter than back_after_ms");
        }
        SortedMap<String, Site> sites = sites(file);
        double guestMissRatio = file.number("miss", 0.5, 0.01, 1);
        long minStep = file.micros("step_ms", 2_000, MIN_MILLIS, 10 * MINUTE_MILLIS);
        FailoverTiming timing = new FailoverTiming(
                lossDelay, recoveryDelay, maxRecoveryDelay, minStep, steps(file), OBSERVATION_LIFETIME_MICROS);
        return new Sites(sites, guestMissRatio, timing);
    }

    private static SortedMap<String, Site> sites(JsonSection file) {
        JsonArray list = file.requiredList("sites");
        SortedMap<String, Site> byName = new TreeMap<>();
        List<Site> inFileOrder = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            JsonSection section = file.element("sites", list, i);
            Site site = site(section);
            if (byName.put(site.name(), site) != null) {
                throw section.invalid("name", "'" + site.name() + "' is there twice");
            }
            inFileOrder.add(site);
        }
        if (byName.size() < MIN_SITES || byName.size() > Sites.MAX_SITES) {
            String bounds = MIN_SITES + " to " + Sites.MAX_SITES;
            throw file.invalid("sites", "are " + byName.size() + ": " + bounds + " are of use");
        }
        checkReferences(inFileOrder, byName.keySet());
        return byName;
    }

    private static Site site(JsonSection section) {
        section.requireKnownKeys(SITE_KEYS, RENAMED_KEYS);
        String name = section.requiredName("name");
        Set<String> directors = Set.copyOf(section.distinctNames("directors"));
        List<Site.FailoverTarget> targets = failoverTargets(section);
        return new Site(
                name,
                section.name("hub", ""),
                directors,
                section.requiredNumber("capacity", MIN_POSITIVE, MAX_LOAD),
                section.number("spare_share", 0.5, 0, 1),
                section.number("reserved_share", 0.5, 0, 1),
                section.number("link", 0, 0, MAX_LOAD),
                targets);
    }

    private static List<Site.FailoverTarget> failoverTargets(JsonSection site) {
        JsonArray list = site.optionalList("takers");
        List<Site.FailoverTarget> targets = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            JsonSection section = site.element("takers", list, i);
            section.requireKnownKeys(TARGET_KEYS, RENAMED_KEYS);
            String name = section.requiredName("site");
            targets.add(new Site.FailoverTarget(name, section.number("distance", 1, MIN_POSITIVE, MAX_LOAD)));
            if (!names.add(name)) {
                throw section.invalid("site", "is there twice");
            }
        }
        return List.copyOf(targets);
    }

    // Checks what sites reference: other sites and directors.
    private static void checkReferences(List<Site> inFileOrder, Set<String> names) {
        Set<String> assignedDirectors = new HashSet<>();
        for (int i = 0; i < inFileOrder.size(); i++) {
            Site site = inFileOrder.get(i);
            String path = "sites[" + i + "].";
            checkTargets(path, site, names);
            for (String director : site.directors()) {
                if (!assignedDirectors.add(director)) {
                    throw new ConfigException(path + "directors", "'" + director + "' stands at two sites");
                }
            }
        }
    }

    private static void checkTargets(String path, Site site, Set<String> names) {
        for (int i = 0; i < site.failoverTargets().size(); i++) {
            String target = site.failoverTargets().get(i).site();
            String key = path + "takers[" + i + "].site";
            if (target.equals(site.name())) {
                throw new ConfigException(key, "'" + target + "' is the site itself");
            }
            if (!names.contains(target)) {
                throw new ConfigException(key, "'" + target + "' is no site of this file");
            }
        }
    }

    private static List<Double> steps(JsonSection file) {
        if (file.json().getValue("steps") == null) {
            return DEFAULT_STEPS;
        }
        JsonArray list = file.requiredList("steps");
        List<Double> steps = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            String key = "steps[" + i + "]";
            steps.add(JsonFields.number(key, list.getValue(i), Double.NaN, MIN_POSITIVE, 1));
            if (i > 0 && steps.get(i) <= steps.get(i - 1)) {
                throw file.invalid(key, "does not grow");
            }
        }
        if (steps.isEmpty() || steps.get(steps.size() - 1) != 1 || steps.size() > MAX_STEPS) {
            throw file.invalid("steps", "do not end at 1, or are over " + MAX_STEPS);
        }
        return List.copyOf(steps);
    }
}
