package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Full disks, and data folders that can't be used. */
class StorageFaultTest extends ClusterFaultTestBase {
    private static final int UNUSABLE = 2; // The exit code of a start with a folder that can't be used.

    @Test
    void aFullDiskSilencesTheMemberAndNotTheDirector() throws Exception {
        MemberProcess full =
                cluster.except(cluster.awaitLeader(cluster.members)).get(0);
        List<MemberProcess> rest = cluster.except(full);
        full.kill();
        full.maxFileKilobytes = 8; // Soon there is no room for the log.
        full.start();
        await("the disk is full", () -> {
            rest.get(0).enterMaintenance(CACHE);
            rest.get(1).exitMaintenance(CACHE);
            return cluster.log.stream()
                    .anyMatch(line -> line.startsWith(full.name + " ") && line.contains("cluster.disk_failed"));
        });
        await("the others go on committing", () -> rest.get(0).enterMaintenance(CACHE));
        assertTrue(full.isServing(), "the director serves on");
        full.kill();
        full.maxFileKilobytes = 0;
        full.start();
        await("with room again it catches up", () -> full.isDrained(CACHE));
    }

    @Test
    void aFolderInUseIsNeitherOpenedNorInitializedAgain() throws Exception {
        MemberProcess member = cluster.members.get(0);
        MemberProcess twin = cluster.newProcess(0);
        twin.clusterConfig = member.clusterConfig;
        await("open", () -> member.status() != null);
        twin.start();
        assertEquals(UNUSABLE, twin.process.waitFor());
        await("told", () -> cluster.logged("is in use by another process"));
        assertEquals(
                1,
                cluster.runCommand("cluster", "init", member.clusterConfig.toString()),
                "a used folder stays as it is");
        assertEquals(
                0, cluster.runCommand("cluster", "inspect", member.dataFolder.toString()), "a look changes nothing");
        await("unharmed", () -> member.status() != null && member.status().getBoolean("open"));
    }

    @Test
    void aLogDamagedBeforeLaterEntriesIsRejected() throws Exception {
        MemberProcess member = cluster.members.get(0);
        member.kill();
        member.start();
        await("entries", () -> member.enterMaintenance(CACHE) && member.exitMaintenance(CACHE));
        member.kill();
        Path log = longestLogSegment(member.dataFolder);
        try (FileChannel file = FileChannel.open(log, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(new byte[] {7, 7, 7}), file.size() / 2);
        }
        member.start();
        assertEquals(UNUSABLE, member.process.waitFor());
        await("told", () -> cluster.logged("empty the folder, so that the member copies the log from the others"));
    }

    private static Path longestLogSegment(Path dataFolder) throws Exception {
        try (Stream<Path> files = Files.list(dataFolder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .max(Comparator.comparingLong(file -> file.toFile().length()))
                    .orElseThrow();
        }
    }

    @Test
    void aPathThatCannotHoldTheFolderIsRejectedAndAMissingFolderIsLearnedAnew() throws Exception {
        MemberProcess member = cluster.members.get(0);
        member.kill();
        Path usable = member.dataFolder;
        deleteFolder(usable);
        Files.writeString(usable, "no folder");
        member.start();
        assertEquals(UNUSABLE, member.process.waitFor());
        Files.delete(usable);
        member.dataFolder = Path.of("/proc/pewtercourse"); // Nobody can write there, whoever runs this.
        cluster.writeConfigs(member, cluster.members);
        member.start();
        assertEquals(UNUSABLE, member.process.waitFor());
        await(
                "told",
                () -> cluster.log.stream()
                        .anyMatch(line -> line.contains("cluster.unusable") && line.contains("/proc/pewtercourse")));
        member.dataFolder = usable;
        cluster.writeConfigs(member, cluster.members);
        member.start();
        await(
                "as a new member it comes back",
                () -> member.status() != null && member.status().getString("leader") != null);
    }
}
