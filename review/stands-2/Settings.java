import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Configurations of a small deployment. */
final class Settings {
    /** A class of requests; {@code extra} holds further keys, each with a comma before it. */
    record RequestClass(String name, String effect, int aimMs, int deadlineMs, int worth, boolean goesThrough, String extra) {}

    static final RequestClass MEDIA = new RequestClass("menu-media", "pure", 600, 5000, 2, false, ",\"AimStretch\":2.0");
    static final RequestClass PAGE = new RequestClass("menu-page", "pure", 400, 3000, 1, false, ",\"AimStretch\":2.0");
    static final RequestClass ORDER = new RequestClass("place-order", "side_effect", 600, 3000, 3, true, "");

    private Settings() {}

    /**
     * A director's configuration.
     *
     * @param zones the hub first
     * @param directors number of directors in each of {@code zones}
     * @param lines the list of caches as of the start
     */
    static String config(
            String name, int me, String zone, List<String> zones, List<Integer> directors, String listen, String admin,
            String feed, List<String> lines, List<RequestClass> classes, boolean marksRetry, int memoryMb) {
        String classList = classes.stream()
                .map(c -> String.format(Locale.ROOT,
                        "{\"Name\":\"%s\",\"Effect\":\"%s\",\"Aim\":%d.0,\"Deadline\":%d.0,\"Worth\":%d.0%s}",
                        c.name(), c.effect(), c.aimMs(), c.deadlineMs(), c.worth(), c.extra()))
                .collect(Collectors.joining(","));
        String through = classes.stream().map(c -> String.valueOf(c.goesThrough())).collect(Collectors.joining(","));
        String fresh = classes.stream().map(c -> c.name().equals("menu-page") ? "8000.0" : "0.0").collect(Collectors.joining(","));
        String none = classes.stream().map(c -> "false").collect(Collectors.joining(","));
        int total = directors.stream().mapToInt(Integer::intValue).sum();
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"admin_addr\":\"" + admin
                + "\",\"seed\":\"8c1f30d27a5be96" + me + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":1024},"
                + "\"feed\":\"" + feed + "\","
                + "\"known\":{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"seq\":1,\"whole\":true,\"hosts\":["
                + String.join(",", lines) + "]}}]},"
                + "\"settings\":{\"Me\":" + me + ",\"Instances\":" + total + ",\"Zone\":\"" + zone + "\",\"Zones\":["
                + zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(",")) + "],"
                + "\"Skus\":[\"small-box\",\"parent\",\"origin\"],\"Discovery\":\"push\",\"Weights\":\"silent\","
                + "\"ClientHabits\":{\"MarksRetry\":" + marksRetry + "},"
                + "\"Classes\":[" + classList + "],"
                + "\"Domain\":{\"CanJoin\":true,\"ClientKbPerS\":3400.0,\"GoesThrough\":[" + through + "],\"GoodFor\":[" + fresh
                + "],\"InParts\":[" + none + "],\"MasterKind\":2,\"MidKind\":1,\"MayPassBy\":false,\"NoticeTime\":1000.0,"
                + "\"ParentColdFrom\":0.065,\"ParentLimitFactor\":2.0,\"ParentWarmsIn\":21000.0,\"PurgeTakes\":6000.0,"
                + "\"Says\":\"hit\",\"SeatsByZone\":[" + directors.stream().map(String::valueOf).collect(Collectors.joining(","))
                + "],\"Siblings\":\"location\"},"
                + "\"Permissions\":{\"Cancel\":true,\"ConnectTimeout\":400.0,\"IdleClose\":15000.0,\"MaxRetryAfter\":500.0,"
                + "\"MayTell\":false,\"ParallelTries\":false,\"RetryAfter\":false,\"TryLimit\":6},"
                + "\"Rules\":{\"AnswerSlack\":8.0,\"ColdFrom\":0.23,\"DrainGrace\":500.0,\"FallMultiple\":2.0,"
                + "\"TipAfter\":1500.0,\"WarmUp\":16000.0}}}";
    }
}
