package pewtercourse;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import pewtercourse.backlog.BacklogPlan;
import pewtercourse.backlog.BacklogResult;
import pewtercourse.backlog.BacklogRun;
import pewtercourse.config.ConfigException;
import pewtercourse.emulator.Scenario;
import pewtercourse.experiment.Experiments;
import pewtercourse.soak.Soak;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The operators' command line. Exit codes: 0 success, 1 refused or failed for the reason that is printed, 2 invalid
 * usage or configuration, 3 no director answers or there is no majority.
 */
@Command(
        name = "pewtercourse",
        description = "A director of caches.",
        subcommands = {
            ClusterCommands.class,
            SitesCommands.class,
            CommandLine.Emulate.class,
            CommandLine.Experiment.class
        },
        mixinStandardHelpOptions = true,
        footer = {"", "Besides: serve, benchlink and rehearse CONFIG."})
final class CommandLine {
    static final int EXIT_OK = 0;
    static final int EXIT_REFUSED = 1;
    static final int EXIT_USAGE = 2;
    static final int EXIT_UNREACHABLE = 3;

    private CommandLine() {}

    static int run(String... args) {
        picocli.CommandLine commandLine = new picocli.CommandLine(new CommandLine());
        commandLine.setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("pewtercourse: " + e.getMessage());
            return e instanceof ConfigException || e instanceof IllegalArgumentException
                    ? EXIT_USAGE
                    : e instanceof java.net.ConnectException || e instanceof java.net.http.HttpTimeoutException
                            ? EXIT_UNREACHABLE
                            : EXIT_REFUSED;
        });
        if (args.length == 0) {
            commandLine.usage(commandLine.getErr());
            return EXIT_USAGE;
        }
        return commandLine.execute(args);
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
            return Scenario.fromFile(scenario).play(into, System.out) ? EXIT_OK : EXIT_REFUSED;
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
            return runMeasurement(() -> Experiments.duties(into, seeds));
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
            return runMeasurement(() -> Experiments.start(into, jars, rounds, config));
        }

        @Command(
                name = "sites",
                description = "The loss of a site and its return, several ways, on a virtual clock.",
                mixinStandardHelpOptions = true)
        int sites(
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/experiment") Path into,
                @Option(names = "--seeds", defaultValue = "30") int seeds)
                throws Exception {
            return runMeasurement(() -> Experiments.sites(into, seeds));
        }

        @Command(
                name = "soak",
                description =
                        "Directors as processes under faults drawn from a seed; exit code 1 if a term was broken.",
                mixinStandardHelpOptions = true)
        int soak(
                @Option(
                                names = "--seeds",
                                paramLabel = "A..B",
                                defaultValue = "1..1",
                                description = "a seed, or a range")
                        String seeds,
                @Option(names = "--seconds", defaultValue = "30", description = "length of the load of a seed")
                        int seconds,
                @Option(names = "--parallel", defaultValue = "1", description = "seeds played at a time") int parallel,
                @Option(names = "--plan", paramLabel = "FILE", description = "play this plan again instead") Path plan,
                @Option(names = "--jar", paramLabel = "FILE", description = "the directors' program; else this one")
                        Path jar,
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/soak") Path into)
                throws Exception {
            String classPath = jar == null ? System.getProperty("java.class.path") : jar.toString();
            if (plan != null) {
                return Soak.replay(plan, classPath, into, System.out) ? EXIT_OK : EXIT_REFUSED;
            }
            String[] range = seeds.split("\\.\\.");
            long first = Long.parseLong(range[0]);
            long last = Long.parseLong(range[range.length - 1]);
            return Soak.play(first, last, seconds, parallel, classPath, into, System.out) ? EXIT_OK : EXIT_REFUSED;
        }

        @Command(
                name = "backlog",
                description = "Clients that leave at their deadline, against a director that falls behind; exit code 1"
                        + " if a term was broken.",
                mixinStandardHelpOptions = true)
        int backlog(
                @Option(names = "--rate", defaultValue = "250", description = "requests a second") int rate,
                @Option(names = "--seconds", defaultValue = "6") int seconds,
                @Option(names = "--deadline-ms", defaultValue = "700") int deadlineMs,
                @Option(names = "--leave", defaultValue = "ABORT", description = "${COMPLETION-CANDIDATES}")
                        BacklogPlan.Way leave,
                @Option(names = "--early", defaultValue = "0", description = "share of clients that leave earlier")
                        double earlyShare,
                @Option(names = "--busy", defaultValue = "0", description = "processes that share the core") int busy,
                @Option(names = "--stop-ms", defaultValue = "0", description = "length of each SIGSTOP") int stopMs,
                @Option(names = "--run-ms", defaultValue = "2000", description = "time between two stops") int runMs,
                @Option(names = "--cache-ms", defaultValue = "30", description = "time of a cache for an answer")
                        int cacheMs,
                @Option(names = "--seed", defaultValue = "1") long seed,
                @Option(names = "--jar", paramLabel = "FILE", description = "the director's program; else this one")
                        Path jar,
                @Option(names = "--into", paramLabel = "FOLDER", defaultValue = "target/backlog") Path into)
                throws Exception {
            BacklogPlan plan = new BacklogPlan(
                    new BacklogPlan.Load(rate, seconds, deadlineMs),
                    new BacklogPlan.Leaving(leave, earlyShare),
                    new BacklogPlan.Disturbance(busy, stopMs, runMs),
                    cacheMs,
                    seed);
            BacklogResult result =
                    BacklogRun.play(plan, into, jar == null ? System.getProperty("java.class.path") : jar.toString());
            System.out.print(result.report());
            return result.passed() ? EXIT_OK : EXIT_REFUSED;
        }

        private interface Measurement {
            void run() throws Exception;
        }

        private static int runMeasurement(Measurement measurement) throws Exception {
            try {
                measurement.run();
                return EXIT_OK;
            } catch (NoClassDefFoundError e) {
                System.err.println("pewtercourse: experiments are in target/pewtercourse-tools.jar");
                return EXIT_USAGE;
            }
        }
    }
}
