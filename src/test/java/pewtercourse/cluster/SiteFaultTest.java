package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
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
 * Tests the loss of sites with three sites of one director each. The directors run as processes of the program with a
 * relay on each link; caches and clients are emulated. After each test: one answer to each request, no order run
 * twice, no attempt after a drain's cut-off, no cold cache overloaded, and no action of a sites lease holder with an
 * older token than the last.
 */
class SiteFaultTest {
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject());
    private static final String TESTED_SITE = "s0";

    @TempDir
    Path folder;

    private ClusterProcesses cluster;
    private Emulation emulation;
    private Path sitesPath;
    private MemberProcess pausedHolder;

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
        ClusterProcesses.awaitServing(cluster.members);
        emulation.startClients();
        await(
                "failover plan for the load of clients",
                () -> cluster.members.stream().allMatch(member -> {
                    JsonObject status = member.site(TESTED_SITE);
                    return status != null
                            && status.getDouble("load") > 0
                            && !status.getJsonArray("takers").isEmpty();
                }));
    }

    private JsonObject sitesFile(boolean withTakers) {
        JsonArray sites = new JsonArray();
        for (MemberProcess member : cluster.members) {
            JsonArray takers = new JsonArray();
            if (withTakers) {
                cluster.except(member).forEach(other -> takers.add(new JsonObject().put("site", "s" + other.number)));
            }
            sites.add(new JsonObject()
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
                .put("sites", sites);
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
            await("all requests answered", () -> emulation.openRequestCount() == 0);
            // A paused director can't answer the requests that it has accepted.
            assertEquals(
                    List.of(),
                    emulation.results(EmulationResults::violations).stream()
                            .filter(violation -> pausedHolder == null
                                    || !violation.contains(" by " + pausedHolder.clientAddress() + " got no answer"))
                            .toList());
            for (MemberProcess member : cluster.members) {
                assertEquals(
                        0,
                        emulation.coldOverloadCount("s" + member.number),
                        "overloaded cold caches at s" + member.number);
            }
            assertTrue(emulation.results(EmulationResults::orderCount) > 0, "no order was run");
        } finally {
            emulation.close();
            cluster.close();
        }
        LeaseActionLog.check(cluster.log);
    }

    private void awaitEverywhere(String description, List<MemberProcess> members, Predicate<JsonObject> condition)
            throws InterruptedException {
        await(
                description + " at " + ClusterProcesses.names(members),
                () -> members.stream().allMatch(member -> {
                    JsonObject status = member.site(TESTED_SITE);
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

    // Waits until more than 15 further requests of the site's clients are answered in time.
    private void awaitServed(String site) throws InterruptedException {
        int answeredBefore = answeredInTime(site);
        await(site + "'s clients are served", () -> answeredInTime(site) > answeredBefore + 15);
    }

    @Test
    void aSiteWithoutCachesIsServedByOthersAndRecoversAutomatically() throws Exception {
        awaitServed(TESTED_SITE);
        int ownAttempts = emulation.results(f -> f.attemptCount(TESTED_SITE));
        assertTrue(ownAttempts > 0);
        emulation.killCaches(TESTED_SITE);
        awaitPhase("lost", cluster.members);
        awaitEverywhere(
                "only the caches of the site fail",
                cluster.members,
                status -> status.getString("health").equals("caches"));
        emulation.publishHealth(TESTED_SITE, "Gone");
        awaitServed(TESTED_SITE);
        emulation.restartCaches(TESTED_SITE);
        awaitPhase("whole", cluster.members);
        int attemptsBefore = emulation.results(f -> f.attemptCount(TESTED_SITE));
        awaitServed(TESTED_SITE);
        assertTrue(
                emulation.results(f -> f.attemptCount(TESTED_SITE)) > attemptsBefore,
                "its own caches must serve again");
        assertTrue(cluster.logged("phase=RETURNING") && cluster.logged("step=1"), "recovery must go step by step");
    }

    @Test
    void aSiteLostTogetherWithTheSitesLeaseHolderIsServedByOthers() throws Exception {
        MemberProcess firstMember = cluster.members.get(0);
        await("the site's director holds the sites lease", () -> {
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
        emulation.killCaches(TESTED_SITE);
        List<MemberProcess> remaining = cluster.except(firstMember);
        emulation.publishHealth(TESTED_SITE, "Gone");
        awaitPhase("lost", remaining);
        awaitEverywhere(
                "caches and directors of the site fail",
                remaining,
                status -> status.getString("health").equals("all"));
        awaitServed(TESTED_SITE); // Its clients use other directors.
        firstMember.start();
        emulation.restartCaches(TESTED_SITE);
        awaitPhase("whole", cluster.members);
        awaitServed(TESTED_SITE);
    }

    @Test
    void aNewLeaseHolderContinuesRecoveryFromTheCommittedStep() throws Exception {
        emulation.killCaches(TESTED_SITE);
        awaitPhase("lost", cluster.members);
        emulation.publishHealth(TESTED_SITE, "Gone");
        emulation.restartCaches(TESTED_SITE);
        awaitPhase("returning", cluster.members);
        MemberProcess holder = cluster.awaitLeaseHolder("sites", cluster.members);
        pausedHolder = holder;
        holder.signal("STOP");
        List<MemberProcess> remaining = cluster.except(holder);
        cluster.awaitLeaseHolder("sites", remaining);
        awaitPhase("whole", remaining);
        holder.signal("CONT");
        awaitPhase("whole", cluster.members);
        long loggedLosses = cluster.log.stream()
                .filter(line -> line.contains("site.status site=s0 phase=LOST"))
                .count();
        assertTrue(loggedLosses <= 3, "each member must log the loss once: " + loggedLosses);
    }

    @Test
    void aPartitionedDirectorDeclaresNoSiteLostAndKeepsServing() throws Exception {
        MemberProcess firstMember = cluster.members.get(0);
        cluster.partition(firstMember, false, false);
        List<MemberProcess> remaining = cluster.except(firstMember);
        cluster.awaitLeaseHolder("sites", remaining);
        awaitEverywhere(
                "site impaired because its director is silent",
                remaining,
                status -> status.getString("phase").equals("impaired")
                        && status.getString("health").equals("directors"));
        awaitServed(TESTED_SITE);
        assertNotEquals("lost", firstMember.site("s1").getString("phase"));
        // The partitioned director learns of this loss once its links are restored.
        emulation.killCaches("s1");
        await("loss of s1 declared", () -> remaining.stream().allMatch(member -> isInPhase(member, "s1", "lost")));
        assertNotEquals("lost", firstMember.site("s1").getString("phase"));
        cluster.healLinks();
        await("loss of s1 known to the director that was partitioned", () -> isInPhase(firstMember, "s1", "lost"));
        emulation.restartCaches("s1");
        await(
                "both sites whole",
                () -> cluster.members.stream()
                        .allMatch(
                                member -> isInPhase(member, "s1", "whole") && isInPhase(member, TESTED_SITE, "whole")));
    }

    @Test
    void aSiteLostAgainDuringRecoveryCountsAFlapAndIsServedByOthers() throws Exception {
        emulation.killCaches(TESTED_SITE);
        awaitPhase("lost", cluster.members);
        for (int flaps = 1; flaps <= 2; flaps++) {
            emulation.restartCaches(TESTED_SITE);
            awaitPhase("returning", cluster.members);
            emulation.killCaches(TESTED_SITE);
            int minFlaps = flaps;
            awaitEverywhere(
                    "lost again with " + minFlaps + " flaps",
                    cluster.members,
                    status -> status.getString("phase").equals("lost") && status.getInteger("flaps") >= minFlaps);
            awaitServed(TESTED_SITE);
        }
        emulation.restartCaches(TESTED_SITE);
        awaitPhase("whole", cluster.members);
    }

    @Test
    void anEmptyListOrSlowAnswersDeclareNoLossAndALostTakerIsReplaced() throws Exception {
        emulation.publishHealth(TESTED_SITE, "Gone", "s1"); // Only the director of s1 receives this list.
        emulation.slowDownCaches("s2", 12);
        await(
                "s2 reported as slow",
                () -> cluster.members.get(1).site("s2").getString("health").equals("slow"));
        emulation.slowDownCaches("s2", 1);
        assertTrue(cluster.log.stream().noneMatch(line -> line.contains("phase=LOST")));
        emulation.publishHealth(TESTED_SITE, "Ready", "s1");
        emulation.killCaches(TESTED_SITE);
        awaitPhase("lost", cluster.members);
        awaitServed(TESTED_SITE);
        emulation.killCaches("s1");
        await("s1 lost", () -> cluster.members.stream().allMatch(member -> isInPhase(member, "s1", "lost")));
        awaitEverywhere(
                "s2 is the only taker in the new plan",
                cluster.members,
                status -> status.getJsonArray("takers").size() == 1
                        && status.getJsonArray("takers")
                                .getJsonObject(0)
                                .getString("site")
                                .equals("s2"));
        awaitServed(TESTED_SITE);
        awaitServed("s2");
        emulation.restartCaches(TESTED_SITE);
        emulation.restartCaches("s1");
        awaitPhase("whole", cluster.members);
        await("s1 whole", () -> cluster.members.stream().allMatch(member -> isInPhase(member, "s1", "whole")));
    }

    @Test
    void appliesASitesFileCompletelyOrNotAtAllDuringALossAndObeysOperatorCommands() throws Exception {
        MemberProcess contact = cluster.members.get(1);
        String admin = contact.adminAddress();
        assertEquals(0, cluster.runCommand("sites", "status", "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "plan", TESTED_SITE, "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "drill", TESTED_SITE, "--admin", admin));
        awaitPhase("lost", cluster.members);
        awaitServed(TESTED_SITE);
        assertEquals(
                1,
                cluster.runCommand("sites", "status", "--admin", admin),
                "status must fail while a site is not whole");
        // An invalid file changes nothing.
        reloadSites(sitesFile(true).put("steps", new JsonArray().add(2)));
        await(
                "invalid file rejected by all directors",
                () -> cluster.log.stream()
                                .filter(line -> line.contains("config.kept") && line.contains("steps"))
                                .count()
                        == 3);
        awaitEverywhere(
                "failover plan unchanged",
                cluster.members,
                status -> !status.getJsonArray("takers").isEmpty());
        // A file without takers takes effect immediately, even during a loss.
        reloadSites(sitesFile(false));
        awaitEverywhere(
                "no takers",
                cluster.members,
                status -> status.getJsonArray("takers").isEmpty());
        assertEquals(
                1, cluster.runCommand("sites", "plan", TESTED_SITE, "--admin", admin), "plan must fail without takers");
        assertEquals(0, cluster.runCommand("sites", "hold", TESTED_SITE, "--admin", admin));
        reloadSites(sitesFile(true));
        awaitEverywhere(
                "takers again and recovery held",
                cluster.members,
                status -> !status.getJsonArray("takers").isEmpty() && status.getBoolean("held"));
        assertEquals(2, cluster.runCommand("sites", "plan", "nowhere", "--admin", admin));
        assertEquals(1, cluster.runCommand("sites", "drill", "nowhere", "--admin", admin));
        assertEquals(0, cluster.runCommand("sites", "release", TESTED_SITE, "--admin", admin));
        awaitPhase("whole", cluster.members);
        awaitServed(TESTED_SITE);
    }
}
