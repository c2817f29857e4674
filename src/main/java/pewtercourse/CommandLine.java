package pewtercourse;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Callable;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.emulator.Scenario;
import pewtercourse.experiment.Experiments;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Saved;
import pewtercourse.raft.store.Store;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The operators' command line. Exit codes: 0 done, 1 a no for a reason that is told, 2 the call can't be used, 3 nobody
 * answers or a majority is missing.
 */
@Command(
        name = "pewtercourse",
        description = "A director of caches.",
        subcommands = {
            CommandLine.Cluster.class,
            CommandLine.Sites.class,
            CommandLine.Emulate.class,
            CommandLine.Experiment.class
        },
        mixinStandardHelpOptions = true,
        footer = {"", "Besides: serve, benchlink and rehearse CONFIG."})
final class CommandLine {
    static final int DONE = 0, NO = 1, UNUSABLE = 2, UNREACHED = 3;

    private CommandLine() {}

    static int run(String... args) {
        picocli.CommandLine line = new picocli.CommandLine(new CommandLine());
        line.setExecutionExceptionHandler((e, c, r) -> {
            c.getErr().println("pewtercourse: " + e.getMessage());
            return e instanceof ConfigException || e instanceof IllegalArgumentException
                    ? UNUSABLE
                    : e instanceof java.net.ConnectException || e instanceof java.net.http.HttpTimeoutException
                            ? UNREACHED
                            : NO;
        });
        if (args.length == 0) {
            line.usage(line.getErr());
            return UNUSABLE;
        }
        return line.execute(args);
    }

    /** Where a director takes its operators' calls. */
    static final class Admin {
        private static final Duration WAIT = Duration.ofSeconds(3);

        @Option(
                names = "--admin",
                paramLabel = "HOST:PORT",
                defaultValue = "${env:GW_ADMIN_ADDR}",
                description = "the director's operators' address; else GW_ADMIN_ADDR")
        String address;

        HttpResponse<String> call(String method, String path, JsonObject body) throws IOException {
            if (address == null || address.isEmpty()) {
                throw new IllegalArgumentException("--admin or GW_ADMIN_ADDR is needed");
            }
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(WAIT)
                    .method(
                            method,
                            body == null
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofString(body.encode()))
                    .build();
            try {
                return HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(WAIT)
                        .build()
                        .send(request, HttpResponse.BodyHandlers.ofString());
            } catch (java.net.ConnectException e) {
                throw (IOException) new java.net.ConnectException("nobody answers at " + address).initCause(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("ended");
            }
        }

        int post(String path, JsonObject body) throws IOException {
            HttpResponse<String> r = call("POST", path, body);
            boolean done = r.statusCode() / 100 == 2;
            (done ? System.out : System.err).println(r.body().strip());
            return done ? DONE : r.statusCode() == 503 ? UNREACHED : r.statusCode() == 400 ? UNUSABLE : NO;
        }
    }

    @Command(
            name = "emulate",
            description = "Plays a scenario: sites of caches, their feed and clients, for directors that you"
                    + " start. Exit code 1 if a rule was broken.",
            mixinStandardHelpOptions = true)
    static final class Emulate implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO")
        Path scenario;

        @Option(
                names = "--into",
                paramLabel = "FOLDER",
                defaultValue = "target/emulated",
                description = "where the directors' configurations go")
        Path into;

        @Override
        public Integer call() throws Exception {
            return Scenario.fromFile(scenario).play(into, System.out) ? DONE : NO;
        }
    }

    @Command(
            name = "experiment",
            description = "Measures on this machine; tables, files of columns and charts.",
            mixinStandardHelpOptions = true)
    static final class Experiment {
        @Command(
                name = "duties",
                description = "How duties change hands, beside two baselines, and what the log does.",
                mixinStandardHelpOptions = true)
        int duties(
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/experiment") Path into,
                @Option(names = "--seeds", defaultValue = "200") int seeds)
                throws Exception {
            return measured(() -> Experiments.duties(into, seeds));
        }

        @Command(
                name = "start",
                description = "Time to be ready and memory of serve, of one or more programs by turns, and with a"
                        + " cluster.",
                mixinStandardHelpOptions = true)
        int start(
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/experiment") Path into,
                @Option(names = "--rounds", defaultValue = "15") int rounds,
                @Option(names = "--config", paramLabel = "FILE", defaultValue = "examples/config.json") Path config,
                @Parameters(
                                paramLabel = "NAME=JAR",
                                arity = "1..*",
                                description = "the last one is started with a cluster too")
                        Map<String, Path> jars)
                throws Exception {
            return measured(() -> Experiments.start(into, jars, rounds, config));
        }

        @Command(
                name = "sites",
                description = "The loss of a site and its return, several ways, on a virtual clock.",
                mixinStandardHelpOptions = true)
        int sites(
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/experiment") Path into,
                @Option(names = "--seeds", defaultValue = "30") int seeds)
                throws Exception {
            return measured(() -> Experiments.sites(into, seeds));
        }

        private interface Measurement {
            void run() throws Exception;
        }

        private static int measured(Measurement what) throws Exception {
            try {
                what.run();
                return DONE;
            } catch (NoClassDefFoundError e) {
                System.err.println("pewtercourse: experiments are in target/pewtercourse-tools.jar");
                return UNUSABLE;
            }
        }
    }

    @Command(
            name = "cluster",
            description = "Directors that agree: their members and duties.",
            mixinStandardHelpOptions = true,
            subcommands = {
                Status.class,
                HandOn.class,
                Transfer.class,
                Add.class,
                Remove.class,
                Init.class,
                Inspect.class
            })
    static final class Cluster {}

    @Command(
            name = "status",
            description = "What a member knows; exit code 3 if no majority confirms it.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Option(names = "--output", paramLabel = "text|json", defaultValue = "text")
        String output;

        @Override
        public Integer call() throws IOException {
            HttpResponse<String> r = admin.call("GET", "/cluster/status", null);
            if (r.statusCode() != 200) {
                System.err.println("pewtercourse: "
                        + (r.statusCode() == 404
                                ? "this director belongs to no cluster"
                                : r.body().strip()));
                return NO;
            }
            JsonObject s = new JsonObject(r.body());
            System.out.print(output.equals("json") ? s.encodePrettily() + "\n" : text(s));
            return s.getValue("leader") == null ? UNREACHED : DONE;
        }

        private static String text(JsonObject s) {
            if (!s.getBoolean("open")) {
                return "cluster " + s.getString("cluster") + ", member " + s.getString("name")
                        + ": its folder can't be used, see the log\n";
            }
            StringBuilder t = new StringBuilder(String.format(
                    "cluster %s, member %s: %s%nleader %s, term %d, commit %d," + " applied %d, snapshot %d%s%n",
                    s.getString("cluster"),
                    s.getString("name"),
                    s.getString("role"),
                    s.getString("leader") == null ? "none" : s.getString("leader"),
                    s.getLong("term"),
                    s.getLong("commit"),
                    s.getLong("applied"),
                    s.getLong("snapshot"),
                    s.getBoolean("confirmed") ? ", confirmed by a majority" : ""));
            for (Object o : s.getJsonArray("members")) {
                JsonObject m = (JsonObject) o;
                t.append(String.format(
                        "member %-16s %s%s%n",
                        m.getString("name"),
                        m.getBoolean("voter") ? "votes" : "learns",
                        m.getValue("lag") == null
                                ? ""
                                : ", lacks " + m.getLong("lag")
                                        + (Boolean.FALSE.equals(m.getValue("heard")) ? ", not heard" : "")));
            }
            for (Object o : s.getJsonArray("duties")) {
                JsonObject d = (JsonObject) o;
                t.append(String.format(
                        "duty %-18s %s, token %d%s%n",
                        d.getString("duty"),
                        d.getString("holder").isEmpty() ? "nobody" : d.getString("holder"),
                        d.getLong("token"),
                        d.getValue("left_ms") == null ? "" : ", " + d.getLong("left_ms") + " ms left"));
            }
            s.getJsonObject("out")
                    .forEach(e -> t.append("out ").append(e.getKey()).append('\n'));
            JsonArray tickets = s.getJsonArray("tickets");
            tickets.stream()
                    .map(o -> (JsonObject) o)
                    .filter(o -> !o.getBoolean("out"))
                    .forEach(o -> t.append("waits ")
                            .append(o.getString("target"))
                            .append(", asked by ")
                            .append(o.getString("by"))
                            .append('\n'));
            return t.toString();
        }
    }

    @Command(
            name = "sites",
            description = "Sites whose clients others may take: how they stand, and losses.",
            mixinStandardHelpOptions = true,
            subcommands = {SitesStatus.class, SitesPlan.class, SitesDrill.class, SitesHold.class, SitesRelease.class})
    static final class Sites {}

    private static JsonObject sites(Admin admin) throws IOException {
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
    static final class SitesStatus implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Option(names = "--output", paramLabel = "text|json", defaultValue = "text")
        String output;

        @Override
        public Integer call() throws IOException {
            JsonObject s = sites(admin);
            boolean whole = true;
            StringBuilder t = new StringBuilder(
                    "kept by " + (s.getString("keeper").isEmpty() ? "nobody" : s.getString("keeper")) + "\n");
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
                        x.getDouble("bears"),
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
    static final class SitesPlan implements Callable<Integer> {
        private static final double NOTHING = 0.005;

        @Mixin
        Admin admin;

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

    /** A word on one site. */
    abstract static class SitesWord implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Parameters(paramLabel = "SITE")
        String site;

        abstract String word();

        @Override
        public Integer call() throws IOException {
            return admin.post("/sites/" + word(), new JsonObject().put("name", site));
        }
    }

    @Command(
            name = "drill",
            description = "Has a site lost on purpose, step by step; release brings it back.",
            mixinStandardHelpOptions = true)
    static final class SitesDrill extends SitesWord {
        @Override
        String word() {
            return "drill";
        }
    }

    @Command(
            name = "hold",
            description = "Keeps a site from returning, or at the step where it is.",
            mixinStandardHelpOptions = true)
    static final class SitesHold extends SitesWord {
        @Override
        String word() {
            return "hold";
        }
    }

    @Command(name = "release", description = "Ends a drill and a hold.", mixinStandardHelpOptions = true)
    static final class SitesRelease extends SitesWord {
        @Override
        String word() {
            return "release";
        }
    }

    @Command(name = "hand-on", description = "Has a duty's holder hand it on.", mixinStandardHelpOptions = true)
    static final class HandOn implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Parameters(paramLabel = "DUTY")
        String duty;

        @Option(names = "--to", paramLabel = "MEMBER", defaultValue = "", description = "else whoever is best")
        String to;

        @Override
        public Integer call() throws IOException {
            return admin.post(
                    "/cluster/hand-on", new JsonObject().put("duty", duty).put("to", to));
        }
    }

    @Command(
            name = "transfer",
            description = "Has the leader, at whose address this is called, hand on leadership.",
            mixinStandardHelpOptions = true)
    static final class Transfer implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Option(names = "--to", paramLabel = "MEMBER", defaultValue = "", description = "else whoever lacks least")
        String to;

        @Override
        public Integer call() throws IOException {
            return admin.post("/cluster/transfer", new JsonObject().put("to", to));
        }
    }

    @Command(
            name = "add",
            description = "Adds a member, at the leader's address; it learns first, then votes.",
            mixinStandardHelpOptions = true)
    static final class Add implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Parameters(paramLabel = "NAME")
        String name;

        @Parameters(paramLabel = "ADDRESS")
        String address;

        @Override
        public Integer call() throws IOException {
            return admin.post("/cluster/add", new JsonObject().put("name", name).put("address", address));
        }
    }

    @Command(
            name = "remove",
            description = "Removes a member, at the leader's address.",
            mixinStandardHelpOptions = true)
    static final class Remove implements Callable<Integer> {
        @Mixin
        Admin admin;

        @Parameters(paramLabel = "NAME")
        String name;

        @Override
        public Integer call() throws IOException {
            return admin.post("/cluster/remove", new JsonObject().put("name", name));
        }
    }

    @Command(
            name = "init",
            description = "Lays the folder of a founding member: once, before its first start, never again"
                    + " for a cluster that has been at work.",
            mixinStandardHelpOptions = true)
    static final class Init implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the member's cluster.json")
        Path file;

        @Override
        public Integer call() throws IOException {
            ClusterConfig c = ClusterConfig.fromFile(file);
            Store.found(c.data(), c.cluster(), c.name(), Membership.founding(c.members()));
            System.out.println("laid " + c.data() + " for " + c.name() + " of "
                    + c.members().keySet());
            return DONE;
        }
    }

    @Command(
            name = "inspect",
            description = "What is in a member's folder; changes nothing, also while it is in use.",
            mixinStandardHelpOptions = true)
    static final class Inspect implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        Path folder;

        @Override
        public Integer call() throws IOException {
            Saved s = Store.inspect(folder);
            long last = s.entries().isEmpty()
                    ? s.snapshot().index()
                    : s.entries().get(s.entries().size() - 1).index();
            System.out.printf(
                    "term %d, voted for %s%nsnapshot %d of term %d, entries up to %d, agreed up to %d at least%n",
                    s.term(),
                    s.votedFor() == null ? "nobody" : s.votedFor(),
                    s.snapshot().index(),
                    s.snapshot().term(),
                    last,
                    Math.max(s.commit(), s.snapshot().index()));
            s.snapshot()
                    .members()
                    .all()
                    .forEach((name, m) -> System.out.printf(
                            "member %s %s at %s, incarnation %x%n",
                            name, m.voter() ? "votes" : "learns", m.address(), m.incarnation()));
            return DONE;
        }
    }
}
