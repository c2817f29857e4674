package pewtercourse;

import static pewtercourse.CommandLine.EXIT_OK;
import static pewtercourse.CommandLine.EXIT_REFUSED;
import static pewtercourse.CommandLine.EXIT_UNREACHABLE;
import static pewtercourse.CommandLine.EXIT_USAGE;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sub-commands for the failover of sites. */
@Command(
        name = "sites",
        description = "Sites whose clients others may take: how they stand, and losses.",
        mixinStandardHelpOptions = true,
        subcommands = {
            SitesCommands.Status.class,
            SitesCommands.Plan.class,
            SitesCommands.Drill.class,
            SitesCommands.Hold.class,
            SitesCommands.Release.class
        })
final class SitesCommands {
    private SitesCommands() {}

    private static JsonObject fetchStatus(AdminAddress admin) throws IOException {
        HttpResponse<String> response = admin.call("GET", "/sites/status", null);
        if (response.statusCode() != 200) {
            throw new IOException(
                    response.statusCode() == 404
                            ? "this director keeps no sites"
                            : response.body().strip());
        }
        return new JsonObject(response.body());
    }

    @Command(
            name = "status",
            description = "How each site stands; exit code 1 if any is not whole, 3 without a leader.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @Mixin
        AdminAddress admin;

        @Option(names = "--output", paramLabel = "text|json", defaultValue = "text")
        String output;

        @Override
        public Integer call() throws IOException {
            JsonObject status = fetchStatus(admin);
            boolean allWhole = true;
            StringBuilder text = new StringBuilder("controlled by "
                    + (status.getString("controller").isEmpty() ? "nobody" : status.getString("controller")) + "\n");
            for (Object item : status.getJsonArray("sites")) {
                JsonObject siteStatus = (JsonObject) item;
                allWhole &= siteStatus.getString("phase").equals("whole");
                text.append(String.format(
                        "site %-16s %s%s%s%s, load %.1f of %.1f, can lend %.1f%n",
                        siteStatus.getString("site"),
                        siteStatus.getString("phase"),
                        siteStatus.getString("health").equals("well")
                                ? ""
                                : " (" + siteStatus.getString("health") + ")",
                        siteStatus.getString("phase").equals("returning")
                                ? " at step " + siteStatus.getInteger("step")
                                : "",
                        (siteStatus.getBoolean("held") ? ", held" : "")
                                + (siteStatus.getBoolean("drill") ? ", a drill" : ""),
                        siteStatus.getDouble("load"),
                        siteStatus.getDouble("capacity"),
                        siteStatus.getDouble("spare")));
            }
            System.out.print(output.equals("json") ? status.encodePrettily() + "\n" : text.toString());
            return status.getValue("leader") == null ? EXIT_UNREACHABLE : allWhole ? EXIT_OK : EXIT_REFUSED;
        }
    }

    @Command(
            name = "plan",
            description = "What happens if a site is lost; exit code 1 if one of them can't be borne.",
            mixinStandardHelpOptions = true)
    static final class Plan implements Callable<Integer> {
        private static final double MIN_REFUSED_LOAD = 0.005;

        @Mixin
        AdminAddress admin;

        @Parameters(paramLabel = "SITE", arity = "0..1", description = "else each of them")
        String site;

        @Override
        public Integer call() throws IOException {
            JsonObject status = fetchStatus(admin);
            boolean allServed = true;
            boolean known = site == null;
            for (Object item : status.getJsonArray("sites")) {
                JsonObject siteStatus = (JsonObject) item;
                if (site != null && !site.equals(siteStatus.getString("site"))) {
                    continue;
                }
                known = true;
                double headRoom = 0;
                StringBuilder text = new StringBuilder(String.format(
                        "if %s is lost (load %.1f):%n", siteStatus.getString("site"), siteStatus.getDouble("load")));
                for (Object takerItem : siteStatus.getJsonArray("takers")) {
                    JsonObject taker = (JsonObject) takerItem;
                    headRoom += taker.getDouble("most") - taker.getDouble("work");
                    text.append(String.format(
                            "  %-16s takes %.1f, up to %.1f%n",
                            taker.getString("site"), taker.getDouble("work"), taker.getDouble("most")));
                }
                if (siteStatus.getDouble("refused") > MIN_REFUSED_LOAD) {
                    allServed = false;
                    text.append(String.format(
                            "  WARNING: %.1f is refused: nobody can take it%n", siteStatus.getDouble("refused")));
                } else {
                    text.append(String.format("  head-room left %.1f%n", headRoom));
                }
                System.out.print(text);
            }
            if (!known) {
                System.err.println("pewtercourse: '" + site + "' is no site of the file");
                return EXIT_USAGE;
            }
            return status.getInteger("planned") == 0 ? EXIT_UNREACHABLE : allServed ? EXIT_OK : EXIT_REFUSED;
        }
    }

    /** Base of the sub-commands that send an operator's call for one site. */
    abstract static class SiteCall implements Callable<Integer> {
        @Mixin
        AdminAddress admin;

        @Parameters(paramLabel = "SITE")
        String site;

        abstract String callName();

        @Override
        public Integer call() throws IOException {
            return admin.post("/sites/" + callName(), new JsonObject().put("name", site));
        }
    }

    @Command(
            name = "drill",
            description = "Has a site lost on purpose, step by step; release brings it back.",
            mixinStandardHelpOptions = true)
    static final class Drill extends SiteCall {
        @Override
        String callName() {
            return "drill";
        }
    }

    @Command(
            name = "hold",
            description = "Keeps a site from returning, or at the step where it is.",
            mixinStandardHelpOptions = true)
    static final class Hold extends SiteCall {
        @Override
        String callName() {
            return "hold";
        }
    }

    @Command(name = "release", description = "Ends a drill and a hold.", mixinStandardHelpOptions = true)
    static final class Release extends SiteCall {
        @Override
        String callName() {
            return "release";
        }
    }
}
