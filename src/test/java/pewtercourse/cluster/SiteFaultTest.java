package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.emulator.Emulation;
import pewtercourse.emulator.EmulationResults;

/**
 * Three sites with a director each, as processes of the program, a relay on each link between them, emulated caches and
 * clients, and sites lost. After each script: one answer to each request, no order twice, no attempt after a drain's
 * cut-off, no cold cache pushed over, and no order of a holder of the sites lease with an older token than the last.
 */
class SiteFaultTest {
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject());
    private static final String LOST = "s0";

    @TempDir
    Path folder;

    private ClusterProcesses cluster;
    private Emulation emulation;
    private Path sitesPath;
    private MemberProcess stoppedHolder;

    @BeforeEach
    void startSites(TestInfo test) throws Exception {
        cluster = new ClusterProcesses(
                "site-" + test.getTestMethod().orElseThrow().getName(), folder, 3, SETTINGS);
        List<Emulation.SiteSpec> specs = new ArrayList<>();
        for (MemberProcess member : cluster.members) {
            List<String> addresses = new ArrayList<>(List.of(member.clientAddress()));
            cluster.except(member).forEach(other -> addresses.add(other.clientAddress()));
            specs.add(new Emulation.SiteSpec("s" + member.number, 2, 6, 20, addresses));
        }
        emulation = new Emulation(specs, 7);
        cluster.configureDirectors(
                member -> emulation.config(member.name, "s" + member.number, member.clientAddress()));
        sitesPath = folder.resolve("sites.json");
        Files.writeString(sitesPath, sitesFile(true).encode());
        cluster.environment.put("GW_SITES", sitesPath.toString());
        cluster.initFolders();
        cluster.start();
        cluster.awaitLeader(cluster.members);
        cluster.awaitLeaseHolder("sites", cluster.members);
        await("they serve", () -> cluster.members.stream().allMatch(SiteFaultTest::isServing));
        emulation.startClients();
        await(
                "a plan for what clients ask for",
                () -> cluster.members.stream().allMatch(member -> {
                    JsonObject status = member.site(LOST);
                    return status != null
                            && status.getDouble("load") > 0
                            && !status.getJsonArray("takers").isEmpty();
                }));
    }

    private static boolean isServing(MemberProcess member) {
        try {
            return member.isServing();
        } catch (IOException e) {
            return false;
        }
    }

    private JsonObject sitesFile(boolean withTakers) {
        JsonArray all = new JsonArray();
        for (MemberProcess member : cluster.members) {
            JsonArray takers = new JsonArray();
            if (withTakers) {
                cluster.except(member).forEach(other -> takers.add(new JsonObject().put("site", "s" + other.number)));
            }
            all.add(new JsonObject()
                    .put("name", "s" + member.number)
                    .put("hub", "hub")
                    .put("directors", new JsonArray().add(member.name))
                    .put("capacity", 12)
                    .put("spare_share", 0.8)
                    .put("reserved_share", 0.4)
                    .put("takers", takers));
        }
        return new JsonObject()
                .put("lost_after_ms", 800)
                .put("back_after_ms", 1_000)
                .put("flap_most_ms", 60_000)
                .put("step_ms", 600)
                .put("steps", new JsonArray().add(0.3).add(0.6).add(1))
                .put("sites", all);
    }

    private void reloadSites(JsonObject file) throws Exception {
        Files.writeString(sitesPath, file.encode());
        for (MemberProcess member : cluster.members) {
            member.signal("HUP");
        }
    }

    @AfterEach
    void closeSitesAndCheckLog() throws Exception {
        try {
            emulation.stopClients();
            await("all have their answers", () -> emulation.openRequestCount() == 0);
            // What a director that stands still has taken it can't answer.
            assertEquals(
                    List.of(),
                    emulation.results(EmulationResults::violations).stream()
                            .filter(violation -> stoppedHolder == null
                                    || !violation.contains(" by " + stoppedHolder.clientAddress() + " got no answer"))
                            .toList());
            for (MemberProcess member : cluster.members) {
                assertEquals(
                        0,
                        emulation.coldOverloadCount("s" + member.number),
                        "cold caches that fell at s" + member.number);
            }
            assertTrue(emulation.results(EmulationResults::orderCount) > 0, "no order ran");
        } finally {
            emulation.close();
            cluster.close();
        }
        LeaseActionLog.check(cluster.log);
    }

    private void awaitEverywhere(String what, List<MemberProcess> members, Predicate<JsonObject> condition)
            throws InterruptedException {
        await(
                what + " at " + ClusterProcesses.names(members),
                () -> members.stream().allMatch(member -> {
                    JsonObject status = member.site(LOST);
                    return status != null && condition.test(status);
                }));
    }

    private void awaitPhase(String phase, List<MemberProcess> members) throws InterruptedException {
        awaitEverywhere(phase, members, status -> status.getString("phase").equals(phase));
    }

    private static boolean isInPhase(MemberProcess member, String site, String phase) {
        JsonObject status = member.site(site);
        return status != null && status.getString("phase").equals(phase);
    }

    private int answeredInTime(String site) {
        return emulation.results(f -> f.siteCounts(site).inTime);
    }

    // Some more of a site's requests are answered in time.
    private void awaitServed(String site) throws InterruptedException {
        int before = answeredInTime(site);
        await(site + "'s clients are served", () -> answeredInTime(site) > before + 15);
    }

    @Test
    void aSiteThatLostItsCachesIsServedByOthersAndRecoversByItself() throws Exception {
        awaitServed(LOST);
        int own = emulation.results(f -> f.attemptCount(LOST));
        assertTrue(own > 0);
        emulation.killCaches(LOST);
        awaitPhase("lost", cluster.members);
        awaitEverywhere(
                "its directors live",
                cluster.members,
                status -> status.getString("health").equals("caches"));
        emulation.publishHealth(LOST, "Gone");
        awaitServed(LOST);
        emulation.restartCaches(LOST);
        awaitPhase("whole", cluster.members);
        int before = emulation.results(f -> f.attemptCount(LOST));
        awaitServed(LOST);
        assertTrue(emulation.results(f -> f.attemptCount(LOST)) > before, "by its own caches again");
        assertTrue(cluster.logged("phase=RETURNING") && cluster.logged("step=1"), "step by step");
    }

    @Test
    void aSiteLostWithTheHolderOfTheSitesLeaseIsServedByOthers() throws Exception {
        MemberProcess firstMember = cluster.members.get(0);
        await("the holder of the sites lease stands in it", () -> {
            MemberProcess candidate = cluster.leaseHolder("sites", cluster.members);
            if (candidate != null && candidate != firstMember) {
                try {
                    cluster.runCommand(
                            "cluster", "hand-on", "sites", "--to", "d0", "--admin", candidate.adminAddress());
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            }
            return cluster.leaseHolder("sites", List.of(firstMember)) != null;
        });
        firstMember.kill();
        emulation.killCaches(LOST);
        List<MemberProcess> rest = cluster.except(firstMember);
        emulation.publishHealth(LOST, "Gone");
        awaitPhase("lost", rest);
        awaitEverywhere(
                "with its directors", rest, status -> status.getString("health").equals("all"));
        awaitServed(LOST); // Its clients go to other directors.
        firstMember.start();
        emulation.restartCaches(LOST);
        awaitPhase("whole", cluster.members);
        awaitServed(LOST);
    }

    @Test
    void aHolderStoppedDuringRecoveryIsFollowedByOneThatGoesOnFromTheCommittedStep() throws Exception {
        emulation.killCaches(LOST);
        awaitPhase("lost", cluster.members);
        emulation.publishHealth(LOST, "Gone");
        emulation.restartCaches(LOST);
        awaitPhase("returning", cluster.members);
        MemberProcess holder = cluster.awaitLeaseHolder("sites", cluster.members);
        stoppedHolder = holder;
        holder.signal("STOP");
        List<MemberProcess> rest = cluster.except(holder);
        cluster.awaitLeaseHolder("sites", rest);
        awaitPhase("whole", rest);
        holder.signal("CONT");
        awaitPhase("whole", cluster.members);
        long lost = cluster.log.stream()
                .filter(line -> line.contains("site.status site=s0 phase=LOST"))
                .count();
        assertTrue(lost <= 3, "told once by each: " + lost);
    }

    @Test
    void aDirectorThatIsCutOffDeclaresNoLossAndServesOn() throws Exception {
        MemberProcess firstMember = cluster.members.get(0);
        cluster.partition(firstMember, false, false);
        List<MemberProcess> rest = cluster.except(firstMember);
        cluster.awaitLeaseHolder("sites", rest);
        awaitEverywhere(
                "its director is silent, its caches are not known to fail",
                rest,
                status -> status.getString("phase").equals("impaired")
                        && status.getString("health").equals("directors"));
        awaitServed(LOST);
        assertNotEquals("lost", firstMember.site("s1").getString("phase"));
        // What is lost while it is cut off it hears of later.
        emulation.killCaches("s1");
        await("declared", () -> rest.stream().allMatch(member -> isInPhase(member, "s1", "lost")));
        assertNotEquals("lost", firstMember.site("s1").getString("phase"));
        cluster.healLinks();
        await("heard", () -> isInPhase(firstMember, "s1", "lost"));
        emulation.restartCaches("s1");
        await(
                "whole",
                () -> cluster.members.stream()
                        .allMatch(member -> isInPhase(member, "s1", "whole") && isInPhase(member, LOST, "whole")));
    }

    @Test
    void aRecoveryThatRelapsesWaitsLongerEachTime() throws Exception {
        emulation.killCaches(LOST);
        awaitPhase("lost", cluster.members);
        for (int flaps = 1; flaps <= 2; flaps++) {
            emulation.restartCaches(LOST);
            awaitPhase("returning", cluster.members);
            emulation.killCaches(LOST);
            int least = flaps;
            awaitEverywhere(
                    "lost again",
                    cluster.members,
                    status -> status.getString("phase").equals("lost") && status.getInteger("flaps") >= least);
            awaitServed(LOST);
        }
        emulation.restartCaches(LOST);
        awaitPhase("whole", cluster.members);
    }

    @Test
    void oneEmptyListOrSlowAnswersAreNoLossAndALostTakerIsReplaced() throws Exception {
        emulation.publishHealth(LOST, "Gone", "s1"); // Only its director hears so.
        emulation.slowDownCaches("s2", 12);
        await(
                "seen as slow or well, not as lost",
                () -> cluster.members.get(1).site("s2").getString("health").equals("slow"));
        emulation.slowDownCaches("s2", 1);
        assertTrue(cluster.log.stream().noneMatch(line -> line.contains("phase=LOST")));
        emulation.publishHealth(LOST, "Ready", "s1");
        emulation.killCaches(LOST);
        awaitPhase("lost", cluster.members);
        awaitServed(LOST);
        emulation.killCaches("s1");
        await("both are lost", () -> cluster.members.stream().allMatch(member -> isInPhase(member, "s1", "lost")));
        awaitEverywhere(
                "planned anew",
                cluster.members,
                status -> status.getJsonArray("takers").size() == 1
                        && status.getJsonArray("takers")
                                .getJsonObject(0)
                                .getString("site")
                                .equals("s2"));
        awaitServed(LOST);
        awaitServed("s2");
        emulation.restartCaches(LOST);
        emulation.restartCaches("s1");
        awaitPhase("whole", cluster.members);
        await("whole", () -> cluster.members.stream().allMatch(member -> isInPhase(member, "s1", "whole")));
    }

    @Test
    void aSitesFileReplacedDuringALossCountsCompletelyOrNotAtAllAndOperatorsDrillHoldAndRelease() throws Exception {
        MemberProcess any = cluster.members.get(1);
        String admin = any.adminAddress();
        assertEquals(0, cluster.runCommand("sites", "status", "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "plan", LOST, "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "drill", LOST, "--admin", admin));
        awaitPhase("lost", cluster.members);
        awaitServed(LOST);
        assertEquals(1, cluster.runCommand("sites", "status", "--admin", admin), "not whole");
        // A file that can't be used changes nothing.
        reloadSites(sitesFile(true).put("steps", new JsonArray().add(2)));
        await(
                "refused",
                () -> cluster.log.stream()
                                .filter(line -> line.contains("config.kept") && line.contains("steps"))
                                .count()
                        == 3);
        awaitEverywhere(
                "the plan stands",
                cluster.members,
                status -> !status.getJsonArray("takers").isEmpty());
        // One that forbids it counts at once, wherever the loss stands.
        reloadSites(sitesFile(false));
        awaitEverywhere(
                "nobody takes any more",
                cluster.members,
                status -> status.getJsonArray("takers").isEmpty());
        assertEquals(1, cluster.runCommand("sites", "plan", LOST, "--admin", admin), "a loss that can't be borne");
        assertEquals(0, cluster.runCommand("sites", "hold", LOST, "--admin", admin));
        reloadSites(sitesFile(true));
        awaitEverywhere(
                "and take again",
                cluster.members,
                status -> !status.getJsonArray("takers").isEmpty() && status.getBoolean("held"));
        assertEquals(2, cluster.runCommand("sites", "plan", "nowhere", "--admin", admin));
        assertEquals(1, cluster.runCommand("sites", "drill", "nowhere", "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "release", LOST, "--admin", admin));
        awaitPhase("whole", cluster.members);
        awaitServed(LOST);
    }
}
