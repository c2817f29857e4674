package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three directors as processes of the program, with a relay on each link that injects faults. After each test the
 * log of all actions by lease holders is checked.
 */
abstract class ClusterFaultTestBase {
    static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject()
            .put("maintenance", new JsonObject().put("most", 1).put("out_most_ms", 60_000))
            .put("quota", new JsonObject().put("reserve", 0.5).put("loan_ms", 500)));
    static final String CACHE = "s-00000001";
    static final String OTHER_CACHE = "s-00000002";

    @TempDir
    Path folder;

    ClusterProcesses cluster;

    @BeforeEach
    void startCluster(TestInfo test) throws Exception {
        cluster = new ClusterProcesses(test.getTestMethod().orElseThrow().getName(), folder, 3, SETTINGS);
        cluster.initFolders();
        cluster.start();
        cluster.awaitLeader(cluster.members);
        cluster.awaitLeaseHolder("maintenance", cluster.members);
    }

    @AfterEach
    void closeClusterAndCheckLog() {
        cluster.close();
        LeaseActionLog.check(cluster.log);
    }

    static void awaitOutOfRotation(List<MemberProcess> members, int count) throws InterruptedException {
        await(
                count + " caches out of rotation at " + ClusterProcesses.names(members),
                () -> members.stream().allMatch(member -> member.outOfRotation() == count));
    }

    static void terminate(MemberProcess member) throws Exception {
        // A signal before the start has completed would end the program immediately.
        await("member started", () -> member.status() != null);
        member.signal("TERM");
        assertEquals(0, member.process.waitFor());
    }

    static void copyFolder(Path from, Path to) throws Exception {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()));
            }
        }
    }

    static void deleteFolder(Path folder) throws Exception {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
