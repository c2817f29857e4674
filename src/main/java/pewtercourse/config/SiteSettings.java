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
 * The typed settings of one site, read from pairs of path and value. The simulator's first message has this form, and
 * the configuration file of a director is flattened to it, so that both go through the same checks. Unknown keys are
 * ignored. Times are microseconds, as in the decision package.
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
    /**
     * The value of a class to the operator.
     *
     * @param worth            value of one request
     * @param staleGraceMicros how long after its freshness lifetime a copy may still be served
     */
    public record Worth(double worth, long staleGraceMicros) {}

    /** Returns the router settings for requests that this director sends to the caches of another zone. */
    public RouterSettings remoteRouterSettings(String zone) {
        List<RequestClass> remoteClasses = new ArrayList<>(router.classes());
        classes.forEach((name, i) -> {
            RequestClass own = remoteClasses.get(i);
            if (own.freshnessLifetime() > 0) {
                // A stale copy is better than a rejection.
                remoteClasses.set(
                        i,
                        own.withFreshnessLifetime(
                                own.freshnessLifetime() + worths.get(name).staleGraceMicros()));
            }
        });
        return router.forRemoteZone(zones.getOrDefault(zone, -1), remoteClasses);
    }

    /** Reads the simulator's pairs, in which commas separate the elements of lists. */
    public static SiteSettings read(Map<String, String> pairs) {
        return read(pairs, ",");
    }

    /** Reads pairs in which {@code listSeparator} separates the elements of lists; no name may contain it. */
    static SiteSettings read(Map<String, String> pairs, String listSeparator) {
        return new Reader(pairs, listSeparator).read();
    }

    /**
     * Returns these settings with each class at the index that it has in {@code before}. A name that {@code before}
     * lacks gets a new index, even if an earlier configuration had it: statistics of the removed class must not apply
     * to the new one. Removed classes stay at their index unchanged, for requests in flight.
     */
    public SiteSettings withClassIndexesOf(SiteSettings before) {
        Map<String, Integer> indexes = new HashMap<>();
        int next = before.router.classes().size();
        for (String name : new TreeSet<>(classes.keySet())) {
            Integer index = before.classes.get(name);
            indexes.put(name, index != null ? index : next++);
        }
        RequestClass[] byIndex = before.router.classes().toArray(new RequestClass[next]);
        classes.forEach(
                (name, i) -> byIndex[indexes.get(name)] = router.classes().get(i));
        return new SiteSettings(
                router.withClasses(List.of(byIndex)),
                indexes,
                zones,
                parentKind,
                originKind,
                connectTimeoutMicros,
                idleTimeoutMicros,
                answerSlackMicros,
                worths);
    }

    /** Returns whether both settings resolve the zones and kinds of the endpoint list in the same way. */
    public boolean resolvesNamesLike(SiteSettings other) {
        return zones.equals(other.zones)
                && Objects.equals(parentKind, other.parentKind)
                && Objects.equals(originKind, other.originKind);
    }

    /** Returns whether endpoints of this kind are caches, neither parents nor origins. */
    public boolean isCache(String kind) {
        return !kind.equals(parentKind) && !kind.equals(originKind);
    }

    public boolean isParent(String kind) {
        return kind.equals(parentKind);
    }

    /** Creates an endpoint from an entry of the endpoint list, with the names of zone and kind resolved. */
    public Endpoint endpoint(
            long id, String zone, String kind, int cell, EndpointLifecycle state, double weight, long since) {
        EndpointRole role = kind.equals(parentKind)
                ? EndpointRole.PARENT
                : kind.equals(originKind) ? EndpointRole.ORIGIN : EndpointRole.CACHE;
        return new Endpoint(id, zones.getOrDefault(zone, -1), role, cell, state, weight, since);
    }

    /** Reads the settings from pairs of path and value. */
    private record Reader(Map<String, String> pairs, String listSeparator) {
        SiteSettings read() {
            Map<String, Integer> zones = indexesByName(list("Zones"));
            Map<String, Integer> names = new HashMap<>();
            String[] kinds = list("Skus");
            RequestClass[] classes = new RequestClass[(int) number("Classes.count", 0)];
            for (int c = 0; c < classes.length; c++) {
                names.put(pairs.getOrDefault("Classes." + c + ".Name", ""), c);
                classes[c] = requestClass(c);
            }
            int zone = zones.getOrDefault(pairs.getOrDefault("Zone", ""), -1);
            RouterSettings router = new RouterSettings(
                    new RouterTopology((int) number("Me", 0), (int) number("Instances", 1), zone, routersPerZone()),
                    List.of(classes),
                    new Bandwidth(
                            number("Domain.ClientKbPerS", 0), zone < 0 ? 0 : numberItem("Domain.PipeKbPerS", zone)),
                    new RouterFeatures(
                            flag("Domain.CanJoin"),
                            flag("Domain.MayPassBy"),
                            flag("Permissions.MayTell"),
                            flag("Permissions.ParallelTries"),
                            flag("Permissions.Cancel")),
                    new RetryLimits(micros("Permissions.MaxRetryAfter"), (int) number("Permissions.TryLimit", 1)),
                    new UpstreamFeatures(
                            !pairs.getOrDefault("Discovery", "push").equals("ask"),
                            weightsPublished(),
                            siblingFillPolicy(),
                            cacheStatusDetail()),
                    new SlowStartSettings(
                            new SlowStart(
                                    number("Rules.ColdFrom", 1),
                                    micros("Rules.WarmUp"),
                                    number("Rules.FallMultiple", 1)),
                            new SlowStart(
                                    number("Domain.ParentColdFrom", 1),
                                    micros("Domain.ParentWarmsIn"),
                                    number("Domain.ParentLimitFactor", 1)),
                            micros("Rules.TipAfter")),
                    micros("Domain.PurgeTakes"));
            return new SiteSettings(
                    router,
                    names,
                    zones,
                    kind(kinds, (int) number("Domain.MidKind", -1)),
                    kind(kinds, (int) number("Domain.MasterKind", -1)),
                    micros(number("Permissions.ConnectTimeout", 1000)),
                    micros(number("Permissions.IdleClose", 15_000)),
                    micros("Rules.AnswerSlack"),
                    worths(names));
        }

        private Map<String, Worth> worths(Map<String, Integer> names) {
            Map<String, Worth> worths = new HashMap<>();
            names.forEach((name, c) -> worths.put(
                    name, new Worth(number("Classes." + c + ".Worth", 1), micros(numberItem("Domain.ClassGrace", c)))));
            return worths;
        }

        private RequestClass requestClass(int c) {
            String prefix = "Classes." + c + ".";
            Idempotency effect = switch (pairs.getOrDefault(prefix + "Effect", "pure")) {
                case "token" -> Idempotency.IDEMPOTENCY_KEY;
                case "side_effect" -> Idempotency.NON_IDEMPOTENT;
                default -> Idempotency.SAFE;
            };
            DeduplicationScope group = switch (pairs.getOrDefault(prefix + "Group", "all")) {
                case "zone" -> DeduplicationScope.ZONE;
                case "cell" -> DeduplicationScope.CELL;
                default -> DeduplicationScope.ALL;
            };
            return new RequestClass(
                    effect,
                    group,
                    micros(prefix + "MemorySpan"),
                    micros(prefix + "Aim"),
                    number(prefix + "AimStretch", 0),
                    micros(prefix + "Deadline"),
                    flag(prefix + "Stream"),
                    micros(numberItem("Domain.GoodFor", c)),
                    flagItem("Domain.InParts", c),
                    flagItem("Domain.GoesThrough", c));
        }

        private List<Integer> routersPerZone() {
            int zones = list("Domain.SeatsByZone").length;
            return IntStream.range(0, zones)
                    .mapToObj(zone -> (int) numberItem("Domain.SeatsByZone", zone))
                    .toList();
        }

        private boolean weightsPublished() {
            String weights = pairs.getOrDefault("Weights", "silent");
            return weights.equals("nominal") || weights.equals("rough");
        }

        private SiblingFillPolicy siblingFillPolicy() {
            return switch (pairs.getOrDefault("Domain.Siblings", "silent")) {
                case "location" -> SiblingFillPolicy.OWN_ZONE;
                case "any" -> SiblingFillPolicy.ANY;
                default -> SiblingFillPolicy.NONE;
            };
        }

        private CacheStatusDetail cacheStatusDetail() {
            return switch (pairs.getOrDefault("Domain.Says", "silent")) {
                case "all" -> CacheStatusDetail.ALL;
                case "hit" -> CacheStatusDetail.HITS;
                default -> CacheStatusDetail.NONE;
            };
        }

        private static Map<String, Integer> indexesByName(String[] names) {
            Map<String, Integer> indexes = new HashMap<>();
            for (int i = 0; i < names.length; i++) {
                indexes.put(names[i], i);
            }
            return indexes;
        }

        private String[] list(String path) {
            return pairs.getOrDefault(path, "").split(Pattern.quote(listSeparator));
        }

        private static String kind(String[] kinds, int index) {
            return index >= 0 && index < kinds.length ? kinds[index] : null;
        }

        private double number(String path, double defaultValue) {
            String text = pairs.get(path);
            return text == null || text.isEmpty() || text.equals("-") ? defaultValue : parse(text, path);
        }

        private long micros(String path) {
            return micros(number(path, 0));
        }

        private boolean flag(String path) {
            return pairs.getOrDefault(path, "false").equals("true");
        }

        private String listItem(String path, int i) {
            String[] items = list(path);
            return i < items.length ? items[i] : "";
        }

        private double numberItem(String path, int i) {
            String text = listItem(path, i);
            return text.isEmpty() ? 0 : parse(text, path);
        }

        private boolean flagItem(String path, int i) {
            return listItem(path, i).equals("true");
        }

        private static double parse(String text, String path) {
            try {
                double number = Double.parseDouble(text);
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // Reported below.
            }
            throw new ConfigException(
                    path, "'" + (text.length() <= 40 ? text : text.substring(0, 40) + "...") + "' is not a number");
        }

        private static long micros(double millis) {
            return Math.round(millis * 1000);
        }
    }
}
