package pewtercourse;

import static pewtercourse.CommandLine.EXIT_OK;
import static pewtercourse.CommandLine.EXIT_REFUSED;
import static pewtercourse.CommandLine.EXIT_UNREACHABLE;

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

/** Sub-commands for clusters of directors. */
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
            HttpResponse<String> response = admin.call("GET", "/cluster/status", null);
            if (response.statusCode() != 200) {
                System.err.println("pewtercourse: "
                        + (response.statusCode() == 404
                                ? "this director belongs to no cluster"
                                : response.body().strip()));
                return EXIT_REFUSED;
            }
            JsonObject status = new JsonObject(response.body());
            System.out.print(output.equals("json") ? status.encodePrettily() + "\n" : text(status));
            return status.getValue("leader") == null ? EXIT_UNREACHABLE : EXIT_OK;
        }

        private static String text(JsonObject status) {
            if (!status.getBoolean("open")) {
                return "cluster " + status.getString("cluster") + ", member " + status.getString("name")
                        + ": its folder can't be used, see the log\n";
            }
            StringBuilder text = new StringBuilder(String.format(
                    "cluster %s, member %s: %s%nleader %s, term %d, commit %d," + " applied %d, snapshot %d%s%n",
                    status.getString("cluster"),
                    status.getString("name"),
                    status.getString("role"),
                    status.getString("leader") == null ? "none" : status.getString("leader"),
                    status.getLong("term"),
                    status.getLong("commit"),
                    status.getLong("applied"),
                    status.getLong("snapshot"),
                    status.getBoolean("confirmed") ? ", confirmed by a majority" : ""));
            for (Object item : status.getJsonArray("members")) {
                JsonObject member = (JsonObject) item;
                text.append(String.format(
                        "member %-16s %s%s%n",
                        member.getString("name"),
                        member.getBoolean("voter") ? "votes" : "learns",
                        member.getValue("lag") == null
                                ? ""
                                : ", lacks " + member.getLong("lag")
                                        + (Boolean.FALSE.equals(member.getValue("heard")) ? ", not heard" : "")));
            }
            for (Object item : status.getJsonArray("duties")) {
                JsonObject duty = (JsonObject) item;
                text.append(String.format(
                        "duty %-18s %s, token %d%s%n",
                        duty.getString("duty"),
                        duty.getString("holder").isEmpty() ? "nobody" : duty.getString("holder"),
                        duty.getLong("token"),
                        duty.getValue("left_ms") == null ? "" : ", " + duty.getLong("left_ms") + " ms left"));
            }
            status.getJsonObject("out")
                    .forEach(entry -> text.append("out ").append(entry.getKey()).append('\n'));
            JsonArray tickets = status.getJsonArray("tickets");
            tickets.stream()
                    .map(item -> (JsonObject) item)
                    .filter(ticket -> !ticket.getBoolean("out"))
                    .forEach(ticket -> text.append("waits ")
                            .append(ticket.getString("target"))
                            .append(", asked by ")
                            .append(ticket.getString("by"))
                            .append('\n'));
            return text.toString();
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
            ClusterConfig config = ClusterConfig.fromFile(file);
            LogStore.bootstrap(config.data(), config.cluster(), config.name(), Membership.bootstrap(config.members()));
            System.out.println("laid " + config.data() + " for " + config.name() + " of "
                    + config.members().keySet());
            return EXIT_OK;
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
            Saved saved = LogStore.inspect(folder);
            long last = saved.entries().isEmpty()
                    ? saved.snapshot().index()
                    : saved.entries().get(saved.entries().size() - 1).index();
            System.out.printf(
                    "term %d, voted for %s%nsnapshot %d of term %d, entries up to %d, agreed up to %d at least%n",
                    saved.term(),
                    saved.votedFor() == null ? "nobody" : saved.votedFor(),
                    saved.snapshot().index(),
                    saved.snapshot().term(),
                    last,
                    Math.max(saved.commit(), saved.snapshot().index()));
            saved.snapshot()
                    .members()
                    .all()
                    .forEach((name, member) -> System.out.printf(
                            "member %s %s at %s, incarnation %x%n",
                            name, member.voter() ? "votes" : "learns", member.address(), member.incarnation()));
            return EXIT_OK;
        }
    }
}
