package pewtercourse;

import static pewtercourse.CommandLine.DONE;
import static pewtercourse.CommandLine.NO;
import static pewtercourse.CommandLine.UNREACHED;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pewtercourse.config.ClusterConfig;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Saved;
import pewtercourse.raft.store.LogStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line's part on directors that agree. */
@Command(
        name = "cluster",
        description = "Directors that agree: their members and duties.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ClusterCommands.Status.class,
            ClusterCommands.HandOn.class,
            ClusterCommands.Transfer.class,
            ClusterCommands.Add.class,
            ClusterCommands.Remove.class,
            ClusterCommands.Init.class,
            ClusterCommands.Inspect.class
        })
final class ClusterCommands {
    private ClusterCommands() {}

    @Command(
            name = "status",
            description = "What a member knows; exit code 3 if no majority confirms it.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @Mixin
        AdminAddress admin;

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

    @Command(name = "hand-on", description = "Has a duty's holder hand it on.", mixinStandardHelpOptions = true)
    static final class HandOn implements Callable<Integer> {
        @Mixin
        AdminAddress admin;

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
        AdminAddress admin;

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
        AdminAddress admin;

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
        AdminAddress admin;

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
            LogStore.bootstrap(c.data(), c.cluster(), c.name(), Membership.founding(c.members()));
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
            Saved s = LogStore.inspect(folder);
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
