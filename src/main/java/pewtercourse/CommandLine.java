package pewtercourse;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import pewtercourse.config.ConfigException;
import pewtercourse.emulator.Scenario;
import pewtercourse.experiment.Experiments;
import picocli.CommandLine.Command;
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
            ClusterCommands.class,
            SitesCommands.class,
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
}
