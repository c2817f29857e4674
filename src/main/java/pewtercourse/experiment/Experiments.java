package pewtercourse.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Entry of the experiments; their libraries are in the jar of tools alone. */
public final class Experiments {
    private Experiments() {}

    /** {@code start}: time to be ready and memory of programs, by name, with and without a cluster. */
    public static void start(Path into, Map<String, Path> jars, int rounds, Path config) throws Exception {
        Files.createDirectories(into);
        String table = StartExperiment.run(jars, rounds, config);
        Files.writeString(into.resolve("start.md"), table);
        System.out.print(table);
    }

    /** {@code sites}: the loss of a site and its return, several ways, over seeds. */
    public static void sites(Path into, int seeds) throws Exception {
        SitesExperiment.run(into, seeds);
    }

    /** {@code duties}: how duties change hands, what the log does, how budgets are used; files go into {@code into}. */
    public static void duties(Path into, int seeds) throws Exception {
        DutiesExperiment.run(into, seeds);
        String log = "\n" + LogExperiment.rates() + "\n" + LogExperiment.recovery();
        Files.writeString(into.resolve("duties-hand-over.md"), log, java.nio.file.StandardOpenOption.APPEND);
        System.out.print(log);
    }
}
