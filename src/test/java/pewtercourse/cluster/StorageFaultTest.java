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
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests full disks and unusable data folders. */
class StorageFaultTest extends ClusterFaultTestBase {
    private static final long STAYS_READY_MS = 100;

    private static final int UNUSABLE_FOLDER_EXIT_CODE = 2;

    @Test
    void aFullDiskStopsTheMemberButNotTheDirector() throws Exception {
        MemberProcess fullMember =
                cluster.except(cluster.awaitLeader(cluster.members)).get(0);
        List<MemberProcess> remaining = cluster.except(fullMember);
        fullMember.kill();
        fullMember.maxFileKilobytes = 8; // The log soon exceeds this limit.
        fullMember.start();
        await("the disk is full", () -> {
            remaining.get(0).enterMaintenance(CACHE);
            remaining.get(1).exitMaintenance(CACHE);
            return cluster.log.stream()
                    .anyMatch(line -> line.startsWith(fullMember.name + " ") && line.contains("cluster.disk_failed"));
        });
        await("the other members commit", () -> remaining.get(0).enterMaintenance(CACHE));
        ClusterProcesses.awaitServing(List.of(fullMember));
        TimeUnit.MILLISECONDS.sleep(STAYS_READY_MS);
        assertTrue(fullMember.isServing(), "the director must keep serving");
        fullMember.kill();
        fullMember.maxFileKilobytes = 0;
        fullMember.start();
        await("restarted without the limit, the member has caught up", () -> fullMember.isDrained(CACHE));
    }

    @Test
    void aFolderInUseIsNeitherOpenedNorInitializedAgain() throws Exception {
        MemberProcess member = cluster.members.get(0);
        MemberProcess twin = cluster.newProcess(0);
        twin.clusterConfig = member.clusterConfig;
        await("member started", () -> member.status() != null);
        twin.start();
        assertEquals(UNUSABLE_FOLDER_EXIT_CODE, twin.process.waitFor());
        await("error logged", () -> cluster.logged("is in use by another process"));
        assertEquals(
                1,
                cluster.runCommand("cluster", "init", member.clusterConfig.toString()),
                "init must reject a used folder");
        assertEquals(
                0,
                cluster.runCommand("cluster", "inspect", member.dataFolder.toString()),
                "inspect must work on a folder in use");
        await(
                "member still open",
                () -> member.status() != null && member.status().getBoolean("open"));
    }

    @Test
    void aLogDamagedBeforeLaterEntriesIsRejected() throws Exception {
        MemberProcess member = cluster.members.get(0);
        member.kill();
        member.start();
        await("entries committed", () -> member.enterMaintenance(CACHE) && member.exitMaintenance(CACHE));
        member.kill();
        Path log = longestLogSegment(member.dataFolder);
        try (FileChannel file = FileChannel.open(log, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(new byte[] {7, 7, 7}), file.size() / 2);
        }
        member.start();
        assertEquals(UNUSABLE_FOLDER_EXIT_CODE, member.process.waitFor());
        await(
                "error logged",
                () -> cluster.logged("empty the folder, so that the member copies the log from the others"));
    }

    private static Path longestLogSegment(Path dataFolder) throws Exception {
        try (Stream<Path> files = Files.list(dataFolder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .max(Comparator.comparingLong(file -> file.toFile().length()))
                    .orElseThrow();
        }
    }

    @Test
    void rejectsAnUnusableFolderPathAndRecoversAMissingFolder() throws Exception {
        MemberProcess member = cluster.members.get(0);
        member.kill();
        Path usableFolder = member.dataFolder;
        deleteFolder(usableFolder);
        Files.writeString(usableFolder, "no folder");
        member.start();
        assertEquals(UNUSABLE_FOLDER_EXIT_CODE, member.process.waitFor());
        Files.delete(usableFolder);
        member.dataFolder = Path.of("/proc/pewtercourse"); // No user can create a folder there.
        cluster.writeConfigs(member, cluster.members);
        member.start();
        assertEquals(UNUSABLE_FOLDER_EXIT_CODE, member.process.waitFor());
        await(
                "error logged",
                () -> cluster.log.stream()
                        .anyMatch(line -> line.contains("cluster.unusable") && line.contains("/proc/pewtercourse")));
        member.dataFolder = usableFolder;
        cluster.writeConfigs(member, cluster.members);
        member.start();
        await(
                "member rejoined with a missing folder",
                () -> member.status() != null && member.status().getString("leader") != null);
    }
}
