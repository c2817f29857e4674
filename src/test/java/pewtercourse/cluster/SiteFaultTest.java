package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.until;

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
import pewtercourse.emulator.Findings;

/**
 * Three sites with a director each, as processes of the program, a relay on each link between them, emulated caches and
 * clients, and sites lost. After each script: one answer to each request, no order twice, no attempt after a drain's
 * cut-off, no cold cache pushed over, and no order of a holder of the sites duty with an older token than the last.
 */
class SiteFaultTest {
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject());
    private static final String LOST = "s0";

    @TempDir
    Path folder;

    private ClusterProcesses fleet;
    private Emulation emulation;
    private Path sites;
    private ClusterProcesses.Member stood;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        fleet = new ClusterProcesses(
                "site-" + test.getTestMethod().orElseThrow().getName(), folder, 3, SETTINGS);
        List<Emulation.SiteSpec> specs = new ArrayList<>();
        for (ClusterProcesses.Member m : fleet.members) {
            List<String> order = new ArrayList<>(List.of(ClusterProcesses.HOST + ":" + m.listen));
            fleet.but(m).forEach(o -> order.add(ClusterProcesses.HOST + ":" + o.listen));
            specs.add(new Emulation.SiteSpec("s" + m.number, 2, 6, 20, order));
        }
        emulation = new Emulation(specs, 7);
        fleet.configure(m -> emulation.config(m.name, "s" + m.number, ClusterProcesses.HOST + ":" + m.listen));
        sites = folder.resolve("sites.json");
        Files.writeString(sites, file(true).encode());
        fleet.environment.put("GW_SITES", sites.toString());
        fleet.found();
        fleet.start();
        fleet.awaitLeader(fleet.members);
        fleet.awaitHolder("sites", fleet.members);
        until("they serve", () -> fleet.members.stream().allMatch(SiteFaultTest::serves));
        emulation.startClients();
        until(
                "a plan for what clients ask for",
                () -> fleet.members.stream().allMatch(m -> {
                    JsonObject s = m.site(LOST);
                    return s != null
                            && s.getDouble("load") > 0
                            && !s.getJsonArray("takers").isEmpty();
                }));
    }

    private static boolean serves(ClusterProcesses.Member m) {
        try {
            return m.call("GET /status", "").startsWith("HTTP/1.1 200");
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private JsonObject file(boolean crossing) {
        JsonArray all = new JsonArray();
        for (ClusterProcesses.Member m : fleet.members) {
            JsonArray takers = new JsonArray();
            if (crossing) {
                fleet.but(m).forEach(o -> takers.add(new JsonObject().put("site", "s" + o.number)));
            }
            all.add(new JsonObject()
                    .put("name", "s" + m.number)
                    .put("hub", "hub")
                    .put("directors", new JsonArray().add(m.name))
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

    @AfterEach
    void end() throws Exception {
        try {
            emulation.endClients();
            until("all have their answers", () -> emulation.open() == 0);
            // What a director that stands still has taken it can't answer.
            assertEquals(
                    List.of(),
                    emulation.findings(Findings::broken).stream()
                            .filter(b -> stood == null
                                    || !b.contains(
                                            " by " + ClusterProcesses.HOST + ":" + stood.listen + " got no answer"))
                            .toList());
            for (ClusterProcesses.Member m : fleet.members) {
                assertEquals(0, emulation.falls("s" + m.number), "cold caches that fell at s" + m.number);
            }
            assertTrue(emulation.findings(Findings::runs) > 0, "no order ran");
        } finally {
            emulation.close();
            fleet.close();
        }
        ClusterFaultTest.checkActs(fleet.log);
    }

    private void everywhere(String what, List<ClusterProcesses.Member> among, Predicate<JsonObject> holds)
            throws InterruptedException {
        until(
                what + " at " + among.stream().map(m -> m.name).toList(),
                () -> among.stream().allMatch(m -> {
                    JsonObject s = m.site(LOST);
                    return s != null && holds.test(s);
                }));
    }

    private void phase(String phase, List<ClusterProcesses.Member> among) throws InterruptedException {
        everywhere(phase, among, s -> s.getString("phase").equals(phase));
    }

    private int answeredInTime(String site) {
        return emulation.findings(f -> f.of(site).inTime);
    }

    // Some more of a site's requests are answered in time.
    private void served(String site) throws InterruptedException {
        int before = answeredInTime(site);
        until(site + "'s clients are served", () -> answeredInTime(site) > before + 15);
    }

    @Test
    void aSiteWithoutItsCachesIsServedByOthersAndComesBackByItself() throws Exception {
        served(LOST);
        int own = emulation.findings(f -> f.attempts(LOST));
        assertTrue(own > 0);
        emulation.lose(LOST);
        phase("lost", fleet.members);
        everywhere(
                "its directors live", fleet.members, s -> s.getString("health").equals("caches"));
        emulation.list(LOST, "Gone");
        served(LOST);
        emulation.revive(LOST);
        phase("whole", fleet.members);
        int before = emulation.findings(f -> f.attempts(LOST));
        served(LOST);
        assertTrue(emulation.findings(f -> f.attempts(LOST)) > before, "by its own caches again");
        assertTrue(fleet.logged("phase=RETURNING") && fleet.logged("step=1"), "step by step");
    }

    @Test
    void aSiteLostWithItsDirectorThatKeptTheSites() throws Exception {
        ClusterProcesses.Member d0 = fleet.members.get(0);
        until("the holder of the sites duty stands in it", () -> {
            ClusterProcesses.Member h = fleet.holder("sites", fleet.members);
            if (h != null && h != d0) {
                try {
                    fleet.run(
                            "cluster",
                            "hand-on",
                            "sites",
                            "--to",
                            "d0",
                            "--admin",
                            ClusterProcesses.HOST + ":" + h.admin);
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            }
            return fleet.holder("sites", List.of(d0)) != null;
        });
        d0.kill();
        emulation.lose(LOST);
        List<ClusterProcesses.Member> rest = fleet.but(d0);
        emulation.list(LOST, "Gone");
        phase("lost", rest);
        everywhere("with its directors", rest, s -> s.getString("health").equals("all"));
        served(LOST); // Its clients go to other directors.
        d0.start();
        emulation.revive(LOST);
        phase("whole", fleet.members);
        served(LOST);
    }

    @Test
    void aHolderStoppedDuringTheReturnIsFollowedByOneThatGoesOnFromTheAgreedStep() throws Exception {
        emulation.lose(LOST);
        phase("lost", fleet.members);
        emulation.list(LOST, "Gone");
        emulation.revive(LOST);
        phase("returning", fleet.members);
        ClusterProcesses.Member failoverController = fleet.awaitHolder("sites", fleet.members);
        stood = failoverController;
        failoverController.signal("STOP");
        List<ClusterProcesses.Member> rest = fleet.but(failoverController);
        fleet.awaitHolder("sites", rest);
        phase("whole", rest);
        failoverController.signal("CONT");
        phase("whole", fleet.members);
        long lost = fleet.log.stream()
                .filter(l -> l.contains("site.status site=s0 phase=LOST"))
                .count();
        assertTrue(lost <= 3, "told once by each: " + lost);
    }

    @Test
    void aDirectorThatIsCutOffDeclaresNothingAndServesOn() throws Exception {
        ClusterProcesses.Member d0 = fleet.members.get(0);
        fleet.cutOff(d0, false, false);
        List<ClusterProcesses.Member> rest = fleet.but(d0);
        fleet.awaitHolder("sites", rest);
        everywhere(
                "its director is silent, its caches are not known to fail",
                rest,
                s -> s.getString("phase").equals("impaired")
                        && s.getString("health").equals("directors"));
        served(LOST);
        assertNotEquals("lost", d0.site("s1").getString("phase"));
        // What is lost while it is cut off it hears of later.
        emulation.lose("s1");
        until(
                "declared",
                () -> rest.stream()
                        .allMatch(m -> m.site("s1") != null
                                && m.site("s1").getString("phase").equals("lost")));
        assertNotEquals("lost", d0.site("s1").getString("phase"));
        fleet.mend();
        until(
                "heard",
                () -> d0.site("s1") != null && d0.site("s1").getString("phase").equals("lost"));
        emulation.revive("s1");
        until(
                "whole",
                () -> fleet.members.stream()
                        .allMatch(m -> m.site("s1") != null
                                && m.site("s1").getString("phase").equals("whole")
                                && m.site(LOST).getString("phase").equals("whole")));
    }

    @Test
    void aReturnThatFailsHalfWayAndAgainWaitsLonger() throws Exception {
        emulation.lose(LOST);
        phase("lost", fleet.members);
        for (int flaps = 1; flaps <= 2; flaps++) {
            emulation.revive(LOST);
            phase("returning", fleet.members);
            emulation.lose(LOST);
            int least = flaps;
            everywhere(
                    "lost again",
                    fleet.members,
                    s -> s.getString("phase").equals("lost") && s.getInteger("flaps") >= least);
            served(LOST);
        }
        emulation.revive(LOST);
        phase("whole", fleet.members);
    }

    @Test
    void anEmptyListAtOneAndSlowAnswersAreNoLossAndATakerLostTooIsReplaced() throws Exception {
        emulation.list(LOST, "Gone", "s1"); // Only its director hears so.
        emulation.slow("s2", 12);
        until(
                "seen as slow or well, not as lost",
                () -> fleet.members.get(1).site("s2").getString("health").equals("slow"));
        emulation.slow("s2", 1);
        assertTrue(fleet.log.stream().noneMatch(l -> l.contains("phase=LOST")));
        emulation.list(LOST, "Ready", "s1");
        emulation.lose(LOST);
        phase("lost", fleet.members);
        served(LOST);
        emulation.lose("s1");
        until(
                "both are lost",
                () -> fleet.members.stream()
                        .allMatch(m -> m.site("s1").getString("phase").equals("lost")));
        everywhere(
                "planned anew",
                fleet.members,
                s -> s.getJsonArray("takers").size() == 1
                        && s.getJsonArray("takers")
                                .getJsonObject(0)
                                .getString("site")
                                .equals("s2"));
        served(LOST);
        served("s2");
        emulation.revive(LOST);
        emulation.revive("s1");
        phase("whole", fleet.members);
        until(
                "whole",
                () -> fleet.members.stream()
                        .allMatch(m -> m.site("s1").getString("phase").equals("whole")));
    }

    @Test
    void aFileReplacedDuringALossCountsWholeOrNotAtAllAndOperatorsDrillHoldAndRelease() throws Exception {
        ClusterProcesses.Member any = fleet.members.get(1);
        String admin = ClusterProcesses.HOST + ":" + any.admin;
        assertEquals(0, fleet.run("sites", "status", "--admin", admin));
        assertEquals(0, fleet.run("sites", "plan", LOST, "--admin", admin));
        assertEquals(0, fleet.run("sites", "drill", LOST, "--admin", admin));
        phase("lost", fleet.members);
        served(LOST);
        assertEquals(1, fleet.run("sites", "status", "--admin", admin), "not whole");
        // A file that can't be used changes nothing.
        Files.writeString(sites, file(true).put("steps", new JsonArray().add(2)).encode());
        for (ClusterProcesses.Member m : fleet.members) {
            m.signal("HUP");
        }
        until(
                "refused",
                () -> fleet.log.stream()
                                .filter(l -> l.contains("config.kept") && l.contains("steps"))
                                .count()
                        == 3);
        everywhere(
                "the plan stands", fleet.members, s -> !s.getJsonArray("takers").isEmpty());
        // One that forbids crossing counts at once, wherever the loss stands.
        Files.writeString(sites, file(false).encode());
        for (ClusterProcesses.Member m : fleet.members) {
            m.signal("HUP");
        }
        everywhere(
                "nobody takes any more",
                fleet.members,
                s -> s.getJsonArray("takers").isEmpty());
        assertEquals(1, fleet.run("sites", "plan", LOST, "--admin", admin), "a loss that can't be borne");
        assertEquals(0, fleet.run("sites", "hold", LOST, "--admin", admin));
        Files.writeString(sites, file(true).encode());
        for (ClusterProcesses.Member m : fleet.members) {
            m.signal("HUP");
        }
        everywhere(
                "and take again", fleet.members, s -> !s.getJsonArray("takers").isEmpty() && s.getBoolean("held"));
        assertEquals(2, fleet.run("sites", "plan", "nowhere", "--admin", admin));
        assertEquals(1, fleet.run("sites", "drill", "nowhere", "--admin", admin));
        assertEquals(0, fleet.run("sites", "release", LOST, "--admin", admin));
        phase("whole", fleet.members);
        served(LOST);
    }
}
