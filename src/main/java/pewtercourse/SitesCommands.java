package pewtercourse;

import static pewtercourse.CommandLine.DONE;
import static pewtercourse.CommandLine.NO;
import static pewtercourse.CommandLine.UNREACHED;
import static pewtercourse.CommandLine.UNUSABLE;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line's part on sites whose clients others may take. */
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

    private static JsonObject sites(AdminAddress admin) throws IOException {
        HttpResponse<String> r = admin.call("GET", "/sites/status", null);
        if (r.statusCode() != 200) {
            throw new IOException(
                    r.statusCode() == 404
                            ? "this director keeps no sites"
                            : r.body().strip());
        }
        return new JsonObject(r.body());
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
            JsonObject s = sites(admin);
            boolean whole = true;
            StringBuilder t = new StringBuilder("controlled by "
                    + (s.getString("controller").isEmpty() ? "nobody" : s.getString("controller")) + "\n");
            for (Object o : s.getJsonArray("sites")) {
                JsonObject x = (JsonObject) o;
                whole &= x.getString("phase").equals("whole");
                t.append(String.format(
                        "site %-16s %s%s%s%s, load %.1f of %.1f, can lend %.1f%n",
                        x.getString("site"),
                        x.getString("phase"),
                        x.getString("health").equals("well") ? "" : " (" + x.getString("health") + ")",
                        x.getString("phase").equals("returning") ? " at step " + x.getInteger("step") : "",
                        (x.getBoolean("held") ? ", held" : "") + (x.getBoolean("drill") ? ", a drill" : ""),
                        x.getDouble("load"),
                        x.getDouble("capacity"),
                        x.getDouble("spare")));
            }
            System.out.print(output.equals("json") ? s.encodePrettily() + "\n" : t.toString());
            return s.getValue("leader") == null ? UNREACHED : whole ? DONE : NO;
        }
    }

    @Command(
            name = "plan",
            description = "What happens if a site is lost; exit code 1 if one of them can't be borne.",
            mixinStandardHelpOptions = true)
    static final class Plan implements Callable<Integer> {
        private static final double NOTHING = 0.005;

        @Mixin
        AdminAddress admin;

        @Parameters(paramLabel = "SITE", arity = "0..1", description = "else each of them")
        String site;

        @Override
        public Integer call() throws IOException {
            JsonObject s = sites(admin);
            boolean borne = true, known = site == null;
            for (Object o : s.getJsonArray("sites")) {
                JsonObject x = (JsonObject) o;
                if (site != null && !site.equals(x.getString("site"))) {
                    continue;
                }
                known = true;
                double room = 0;
                StringBuilder t = new StringBuilder(
                        String.format("if %s is lost (load %.1f):%n", x.getString("site"), x.getDouble("load")));
                for (Object p : x.getJsonArray("takers")) {
                    JsonObject taker = (JsonObject) p;
                    room += taker.getDouble("most") - taker.getDouble("work");
                    t.append(String.format(
                            "  %-16s takes %.1f, up to %.1f%n",
                            taker.getString("site"), taker.getDouble("work"), taker.getDouble("most")));
                }
                if (x.getDouble("refused") > NOTHING) {
                    borne = false;
                    t.append(String.format("  WARNING: %.1f is refused: nobody can take it%n", x.getDouble("refused")));
                } else {
                    t.append(String.format("  head-room left %.1f%n", room));
                }
                System.out.print(t);
            }
            if (!known) {
                System.err.println("pewtercourse: '" + site + "' is no site of the file");
                return UNUSABLE;
            }
            return s.getInteger("planned") == 0 ? UNREACHED : borne ? DONE : NO;
        }
    }

    /** An order on one site. */
    abstract static class SiteOrder implements Callable<Integer> {
        @Mixin
        AdminAddress admin;

        @Parameters(paramLabel = "SITE")
        String site;

        abstract String order();

        @Override
        public Integer call() throws IOException {
            return admin.post("/sites/" + order(), new JsonObject().put("name", site));
        }
    }

    @Command(
            name = "drill",
            description = "Has a site lost on purpose, step by step; release brings it back.",
            mixinStandardHelpOptions = true)
    static final class Drill extends SiteOrder {
        @Override
        String order() {
            return "drill";
        }
    }

    @Command(
            name = "hold",
            description = "Keeps a site from returning, or at the step where it is.",
            mixinStandardHelpOptions = true)
    static final class Hold extends SiteOrder {
        @Override
        String order() {
            return "hold";
        }
    }

    @Command(name = "release", description = "Ends a drill and a hold.", mixinStandardHelpOptions = true)
    static final class Release extends SiteOrder {
        @Override
        String order() {
            return "release";
        }
    }
}
