package pewtercourse.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Runs the experiments of the command line. Only the tools jar contains their libraries. */
public final class Experiments {
    private Experiments() {}

    /** Runs {@code start}: measures the start time and memory of the jars, keyed by name, with and without a cluster. */
    public static void start(Path outputFolder, Map<String, Path> jars, int rounds, Path config) throws Exception {
        Files.createDirectories(outputFolder);
        String table = StartExperiment.run(jars, rounds, config);
        Files.writeString(outputFolder.resolve("start.md"), table);
        System.out.print(table);
    }

    /** Runs {@code sites}: simulates the loss and return of a site with each strategy over many seeds. */
    public static void sites(Path outputFolder, int seeds) throws Exception {
        SitesExperiment.run(outputFolder, seeds);
    }

    /** Runs {@code duties}: measures hand-over of duties, use of budgets and the log; writes files to the output folder. */
    public static void duties(Path outputFolder, int seeds) throws Exception {
        DutiesExperiment.run(outputFolder, seeds);
        String log = "\n" + LogExperiment.rates() + "\n" + LogExperiment.recovery();
        Files.writeString(outputFolder.resolve("duties-hand-over.md"), log, java.nio.file.StandardOpenOption.APPEND);
        System.out.print(log);
    }
}
