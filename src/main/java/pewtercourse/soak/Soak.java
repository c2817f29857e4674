package pewtercourse.soak;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

/** Plays plans, several at a time, and prints a report of each. */
public final class Soak {
    private Soak() {}

    /**
     * Plays the plans that the seeds yield.
     *
     * @param into folder for logs, configurations and plans, one folder a seed
     * @param parallel number of plans that are played at the same time
     * @param classPath class path of the directors
     * @return whether all terms were kept
     */
    public static boolean play(
            long firstSeed, long lastSeed, int seconds, int parallel, String classPath, Path into, PrintStream out)
            throws Exception {
        return play(
                LongStream.rangeClosed(firstSeed, lastSeed)
                        .mapToObj(seed -> FaultPlan.draw(seed, seconds))
                        .toList(),
                parallel,
                classPath,
                into,
                out);
    }

    /** Plays the plan of a file again. */
    public static boolean replay(Path plan, String classPath, Path into, PrintStream out) throws Exception {
        return play(List.of(FaultPlan.fromJson(new JsonObject(Files.readString(plan)))), 1, classPath, into, out);
    }

    private static boolean play(List<FaultPlan> plans, int parallel, String classPath, Path into, PrintStream out)
            throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(parallel);
        List<Future<SoakResult>> results = new ArrayList<>();
        for (FaultPlan plan : plans) {
            results.add(threads.submit(() -> playOne(plan, classPath, into.resolve("seed-" + plan.seed()))));
        }
        threads.shutdown();
        int failed = 0;
        for (int i = 0; i < results.size(); i++) {
            try {
                SoakResult result = results.get(i).get();
                failed += result.passed() ? 0 : 1;
                out.print(result.report());
            } catch (ExecutionException e) {
                failed++;
                out.println("seed " + plans.get(i).seed() + ": FAILED, not played to its end: " + e.getCause());
            }
        }
        out.println(plans.size() + " plans, " + failed + " failed");
        return failed == 0;
    }

    /** Plays one plan. */
    public static SoakResult playOne(FaultPlan plan, String classPath, Path folder) throws Exception {
        try (SoakRun run = new SoakRun(plan, folder, classPath)) {
            return run.play();
        }
    }
}
