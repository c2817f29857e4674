package pewtercourse.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import pewtercourse.decision.Bandwidth;
import pewtercourse.decision.CacheStatusDetail;
import pewtercourse.decision.DeduplicationScope;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointRole;
import pewtercourse.decision.Idempotency;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.RetryLimits;
import pewtercourse.decision.RouterFeatures;
import pewtercourse.decision.RouterSettings;
import pewtercourse.decision.RouterTopology;
import pewtercourse.decision.SiblingFillPolicy;
import pewtercourse.decision.SlowStart;
import pewtercourse.decision.SlowStartSettings;
import pewtercourse.decision.UpstreamFeatures;

/**
 * The typed settings of one site, read from pairs of path and value. The simulator's first message holds them
 * in this form; the configuration of a real director is flattened to it, so that both go through these checks.
 * Unknown keys are ignored. Times are microseconds, as in the decision module.
 */
public record SiteSettings(
        RouterSettings router,
        Map<String, Integer> classes,
        Map<String, Integer> zones,
        String parentKind,
        String originKind,
        long connectTimeoutMicros,
        long idleTimeoutMicros,
        long answerSlackMicros,
        Map<String, Worth> worths) {
    /** What a request of a class is worth, and how long past its fresh time a copy may still be served. */
    public record Worth(double worth, long staleGraceMicros) {}

    /** The module's settings for requests of this director's clients that go to the caches of another zone. */
    public RouterSettings remoteRouterSettings(String zone) {
        List<RequestClass> others = new ArrayList<>(router.classes());
        classes.forEach((name, i) -> {
            RequestClass own = others.get(i);
            if (own.freshnessLifetime() > 0) {
                // A stale copy before a rejection.
                others.set(
                        i,
                        own.withFreshnessLifetime(
                                own.freshnessLifetime() + worths.get(name).staleGraceMicros()));
            }
        });
        return router.forRemoteZone(zones.getOrDefault(zone, -1), others);
    }

    /** Reads the simulator's pairs, whose lists are joined by commas. */
    public static SiteSettings read(Map<String, String> info) {
        return read(info, ",");
    }

    /** Reads pairs whose lists are joined by {@code listSeparator}, which no name may hold. */
    static SiteSettings read(Map<String, String> info, String listSeparator) {
        return new Reader(info, listSeparator).read();
    }

    /**
     * These settings with their classes at the places that they had {@code before}. A name that was not there then gets a
     * new place, also if it was there earlier: nothing that was learned of the class that has gone may count for it. What
     * nobody names any more stays as it was, for requests that are under way.
     */
    public SiteSettings withClassIndexesOf(SiteSettings before) {
        Map<String, Integer> at = new HashMap<>();
        int next = before.router.classes().size();
        for (String name : new TreeSet<>(classes.keySet())) {
            Integer place = before.classes.get(name);
            at.put(name, place != null ? place : next++);
        }
        RequestClass[] all = before.router.classes().toArray(new RequestClass[next]);
        classes.forEach((name, i) -> all[at.get(name)] = router.classes().get(i));
        return new SiteSettings(
                router.withClasses(List.of(all)),
                at,
                zones,
                parentKind,
                originKind,
                connectTimeoutMicros,
                idleTimeoutMicros,
                answerSlackMicros,
                worths);
    }

    /** Whether a line of the list means the same under these. */
    public boolean resolvesNamesLike(SiteSettings other) {
        return zones.equals(other.zones)
                && Objects.equals(parentKind, other.parentKind)
                && Objects.equals(originKind, other.originKind);
    }

    /** Whether a line of this kind is a cache, and neither parent nor origin. */
    public boolean isCache(String kind) {
        return !kind.equals(parentKind) && !kind.equals(originKind);
    }

    public boolean isParent(String kind) {
        return kind.equals(parentKind);
    }

    /** A line of the list, with the names of zone and kind resolved. */
    public Endpoint endpoint(
            long id, String zone, String kind, int cell, EndpointLifecycle state, double weight, long since) {
        EndpointRole role = kind.equals(parentKind)
                ? EndpointRole.PARENT
                : kind.equals(originKind) ? EndpointRole.ORIGIN : EndpointRole.CACHE;
        return new Endpoint(id, zones.getOrDefault(zone, -1), role, cell, state, weight, since);
    }

    private record Reader(Map<String, String> info, String listSeparator) {
        SiteSettings read() {
            Map<String, Integer> zones = places(list("Zones"));
            Map<String, Integer> names = new HashMap<>();
            String[] kinds = list("Skus");
            RequestClass[] classes = new RequestClass[(int) number("Classes.count", 0)];
            for (int c = 0; c < classes.length; c++) {
                names.put(info.getOrDefault("Classes." + c + ".Name", ""), c);
                classes[c] = requestClass(c);
            }
            int zone = zones.getOrDefault(info.getOrDefault("Zone", ""), -1);
            RouterSettings s = new RouterSettings(
                    new RouterTopology((int) number("Me", 0), (int) number("Instances", 1), zone, routersPerZone()),
                    List.of(classes),
                    new Bandwidth(number("Domain.ClientKbPerS", 0), zone < 0 ? 0 : item("Domain.PipeKbPerS", zone)),
                    new RouterFeatures(
                            flag("Domain.CanJoin"),
                            flag("Domain.MayPassBy"),
                            flag("Permissions.MayTell"),
                            flag("Permissions.ParallelTries"),
                            flag("Permissions.Cancel")),
                    new RetryLimits(span("Permissions.MaxRetryAfter"), (int) number("Permissions.TryLimit", 1)),
                    new UpstreamFeatures(
                            !info.getOrDefault("Discovery", "push").equals("ask"), weightsTold(), siblings(), notes()),
                    new SlowStartSettings(
                            new SlowStart(
                                    number("Rules.ColdFrom", 1), span("Rules.WarmUp"), number("Rules.FallMultiple", 1)),
                            new SlowStart(
                                    number("Domain.ParentColdFrom", 1),
                                    span("Domain.ParentWarmsIn"),
                                    number("Domain.ParentLimitFactor", 1)),
                            span("Rules.TipAfter")),
                    span("Domain.PurgeTakes"));
            return new SiteSettings(
                    s,
                    names,
                    zones,
                    kind(kinds, (int) number("Domain.MidKind", -1)),
                    kind(kinds, (int) number("Domain.MasterKind", -1)),
                    micros(number("Permissions.ConnectTimeout", 1000)),
                    micros(number("Permissions.IdleClose", 15_000)),
                    span("Rules.AnswerSlack"),
                    worths(names));
        }

        private Map<String, Worth> worths(Map<String, Integer> names) {
            Map<String, Worth> worths = new HashMap<>();
            names.forEach((name, c) -> worths.put(
                    name, new Worth(number("Classes." + c + ".Worth", 1), micros(item("Domain.ClassGrace", c)))));
            return worths;
        }

        private RequestClass requestClass(int c) {
            String p = "Classes." + c + ".";
            Idempotency effect = switch (info.getOrDefault(p + "Effect", "pure")) {
                case "token" -> Idempotency.IDEMPOTENCY_KEY;
                case "side_effect" -> Idempotency.NON_IDEMPOTENT;
                default -> Idempotency.SAFE;
            };
            DeduplicationScope group = switch (info.getOrDefault(p + "Group", "all")) {
                case "zone" -> DeduplicationScope.ZONE;
                case "cell" -> DeduplicationScope.CELL;
                default -> DeduplicationScope.ALL;
            };
            return new RequestClass(
                    effect,
                    group,
                    span(p + "MemorySpan"),
                    span(p + "Aim"),
                    number(p + "AimStretch", 0),
                    span(p + "Deadline"),
                    flag(p + "Stream"),
                    micros(item("Domain.GoodFor", c)),
                    truth("Domain.InParts", c),
                    truth("Domain.GoesThrough", c));
        }

        private List<Integer> routersPerZone() {
            int zones = list("Domain.SeatsByZone").length;
            return IntStream.range(0, zones)
                    .mapToObj(zone -> (int) item("Domain.SeatsByZone", zone))
                    .toList();
        }

        private boolean weightsTold() {
            String weights = info.getOrDefault("Weights", "silent");
            return weights.equals("nominal") || weights.equals("rough");
        }

        private SiblingFillPolicy siblings() {
            return switch (info.getOrDefault("Domain.Siblings", "silent")) {
                case "location" -> SiblingFillPolicy.OWN_ZONE;
                case "any" -> SiblingFillPolicy.ANY;
                default -> SiblingFillPolicy.NONE;
            };
        }

        private CacheStatusDetail notes() {
            return switch (info.getOrDefault("Domain.Says", "silent")) {
                case "all" -> CacheStatusDetail.ALL;
                case "hit" -> CacheStatusDetail.HITS;
                default -> CacheStatusDetail.NONE;
            };
        }

        private static Map<String, Integer> places(String[] names) {
            Map<String, Integer> places = new HashMap<>();
            for (int i = 0; i < names.length; i++) {
                places.put(names[i], i);
            }
            return places;
        }

        private String[] list(String path) {
            return info.getOrDefault(path, "").split(Pattern.quote(listSeparator));
        }

        private static String kind(String[] kinds, int place) {
            return place >= 0 && place < kinds.length ? kinds[place] : null;
        }

        private double number(String path, double otherwise) {
            String v = info.get(path);
            return v == null || v.isEmpty() || v.equals("-") ? otherwise : parse(v, path);
        }

        private long span(String path) {
            return micros(number(path, 0));
        }

        private boolean flag(String path) {
            return info.getOrDefault(path, "false").equals("true");
        }

        private String listItem(String path, int i) {
            String[] v = list(path);
            return i < v.length ? v[i] : "";
        }

        private double item(String path, int i) {
            String v = listItem(path, i);
            return v.isEmpty() ? 0 : parse(v, path);
        }

        private boolean truth(String path, int i) {
            return listItem(path, i).equals("true");
        }

        private static double parse(String v, String path) {
            try {
                double d = Double.parseDouble(v);
                if (Double.isFinite(d)) {
                    return d;
                }
            } catch (NumberFormatException e) {
                // told below
            }
            throw new ConfigException(
                    path, "'" + (v.length() <= 40 ? v : v.substring(0, 40) + "...") + "' is not a number");
        }

        private static long micros(double ms) {
            return Math.round(ms * 1000);
        }
    }
}
