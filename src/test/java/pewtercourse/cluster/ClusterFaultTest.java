package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.cluster.ClusterProcesses.until;

import io.vertx.core.json.JsonObject;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

/**
 * Directors as processes of the program, a relay on each link, and faults between them. After each script the log of every
 * act is checked: no token is held by two, and none acts after a later one.
 */
class ClusterFaultTest {
    private static final JsonObject SETTINGS = ClusterProcesses.settings(new JsonObject()
            .put("maintenance", new JsonObject().put("most", 1).put("out_most_ms", 60_000))
            .put("quota", new JsonObject().put("reserve", 0.5).put("loan_ms", 500)));
    private static final Pattern ACT = Pattern.compile("^(\\S+) (\\d+) INFO duty\\.act order=(\\w+)\\[.*token=(\\d+)"),
            ASSIGNED = Pattern.compile("^(\\S+) \\d+ INFO duty\\.assigned duty=(\\w+) holder=(\\S+) token=(\\d+)");
    private static final String CACHE = "s-00000001", OTHER = "s-00000002";

    @TempDir
    Path folder;

    private ClusterProcesses fleet;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        fleet = new ClusterProcesses(test.getTestMethod().orElseThrow().getName(), folder, 3, SETTINGS);
        fleet.found();
        fleet.start();
        fleet.awaitLeader(fleet.members);
        fleet.awaitHolder("maintenance", fleet.members);
    }

    @AfterEach
    void end() {
        fleet.close();
        checkActs(fleet.log);
    }

    /** What the members logged as agreed and as done. */
    static void checkActs(Collection<String> log) {
        List<String> lines = new ArrayList<>(log);
        var holders = new java.util.TreeMap<Long, String>();
        var last = new java.util.HashMap<String, Long>(); // By member and duty: the token that it told last.
        for (String l : lines) {
            Matcher m = ASSIGNED.matcher(l);
            if (l.contains(" INFO cluster.opened ")) {
                String member = l.substring(0, l.indexOf(' ') + 1);
                last.keySet().removeIf(k -> k.startsWith(member)); // It may learn again what it knew.
            } else if (m.find()) {
                Long token = Long.valueOf(m.group(4));
                String other = holders.putIfAbsent(token, m.group(3));
                assertTrue(other == null || other.equals(m.group(3)), "two hold one token: " + l);
                Long before = last.put(m.group(1) + ' ' + m.group(2), token);
                assertTrue(before == null || before < token, "a token that does not grow: " + l);
            }
        }
        long[] greatest = {0};
        lines.stream()
                .map(ACT::matcher)
                .filter(Matcher::find)
                .sorted(Comparator.comparingLong(m -> Long.parseLong(m.group(2))))
                .forEach(m -> {
                    long token = Long.parseLong(m.group(4));
                    assertEquals(m.group(1), holders.get(token), "acts with another's token: " + m.group());
                    if (m.group(3).equals("GrantMaintenance") || m.group(3).equals("CancelMaintenance")) {
                        assertTrue(token >= greatest[0], "acts after a later token: " + m.group());
                        greatest[0] = token;
                    }
                });
        assertFalse(lines.stream().anyMatch(l -> l.contains("cluster.unexpected")), "an error: see the log");
    }

    private void everywhereOut(List<ClusterProcesses.Member> among, int count) throws InterruptedException {
        until(
                count + " out at " + among.stream().map(m -> m.name).toList(),
                () -> among.stream().allMatch(m -> m.outOfRotation() == count));
    }

    @Test
    void whatIsSaidAtOneCountsAtAllAndOneCacheOfAZoneIsOutAtATime() throws Exception {
        until("out", () -> fleet.members.get(0).enter(CACHE));
        everywhereOut(fleet.members, 1);
        assertFalse(fleet.members.get(1).enter(OTHER), "a second one of the zone");
        everywhereOut(fleet.members, 1);
        // It waits in line: the holder of the maintenance duty grants it as soon as the first is back.
        until("back", () -> fleet.members.get(2).exit(CACHE));
        until("the next is let", () -> fleet.members.stream().allMatch(m -> m.out(OTHER)));
        everywhereOut(fleet.members, 1);
        assertEquals(
                0, fleet.run("cluster", "status", "--admin", ClusterProcesses.HOST + ":" + fleet.members.get(0).admin));
        assertTrue(fleet.logged("line out " + OTHER));
        String figures = fleet.members.get(1).call("GET /status/metrics", "");
        assertTrue(
                figures.contains("\nout_of_rotation=1\n")
                        && figures.contains("\ncluster.open=1\n")
                        && figures.contains("\nduty.out=1\n")
                        && figures.contains("\ncluster.members=3\n"),
                figures);
    }

    @Test
    void theHolderIsKilledAndItsDutyAndCallsInLineSurvive() throws Exception {
        ClusterProcesses.Member holder = fleet.awaitHolder("maintenance", fleet.members);
        List<ClusterProcesses.Member> rest = fleet.but(holder);
        until("out", () -> rest.get(0).enter(CACHE));
        assertFalse(rest.get(1).enter(OTHER));
        holder.kill();
        fleet.awaitHolder("maintenance", rest);
        until("back", () -> rest.get(0).exit(CACHE));
        until("granted by the next holder", () -> rest.stream().allMatch(m -> m.out(OTHER)));
        holder.start();
        until("it comes back and learns", () -> holder.out(OTHER) && holder.outOfRotation() == 1);
    }

    @Test
    void aHolderThatStoodStillForLongerThanItsLeaseDoesNothingMore() throws Exception {
        ClusterProcesses.Member holder = fleet.awaitHolder("maintenance", fleet.members);
        List<ClusterProcesses.Member> rest = fleet.but(holder);
        holder.signal("STOP");
        ClusterProcesses.Member next = fleet.awaitHolder("maintenance", rest);
        until("the next one acts", () -> rest.get(0).enter(CACHE));
        holder.signal("CONT");
        until(
                "it sees who holds the duty",
                () -> holder.out(CACHE) && fleet.holder("maintenance", List.of(holder)) == null);
        until("back", () -> holder.exit(CACHE));
        until("and out again by the next one", () -> rest.get(1).enter(CACHE));
        assertTrue(next.process.isAlive());
    }

    @Test
    void aHolderThatIsCutOffOneWayOrBothLosesItsDutyAndServesOn() throws Exception {
        until("out", () -> fleet.members.get(0).enter(CACHE));
        for (boolean hears : new boolean[] {true, false}) {
            everywhereOut(fleet.members, 1);
            ClusterProcesses.Member holder = fleet.awaitHolder("maintenance", fleet.members);
            List<ClusterProcesses.Member> rest = fleet.but(holder);
            fleet.cutOff(holder, hears, false);
            fleet.awaitLeader(rest);
            fleet.awaitHolder("maintenance", rest);
            if (!hears) {
                assertFalse(holder.exit(CACHE), "a minority changes nothing");
                assertEquals(1, holder.outOfRotation(), "and goes by what was agreed");
                until("the majority says otherwise", () -> rest.get(0).exit(CACHE));
                everywhereOut(rest, 0);
                assertEquals(1, holder.outOfRotation());
                until("and out again", () -> rest.get(0).enter(CACHE));
                until("and back", () -> rest.get(1).exit(CACHE));
            }
            fleet.mend();
            if (!hears) {
                everywhereOut(fleet.members, 0);
            }
        }
    }

    @Test
    void withoutAMajorityNothingChangesAndAllComeBackByThemselves() throws Exception {
        until("out", () -> fleet.members.get(0).enter(CACHE));
        everywhereOut(fleet.members, 1);
        ClusterProcesses.Member left = fleet.members.get(2);
        fleet.members.get(0).kill();
        fleet.members.get(1).kill();
        assertFalse(left.exit(CACHE), "one of three agrees on nothing");
        assertEquals(1, left.outOfRotation());
        left.kill();
        // Alone from its folder it goes by what was agreed.
        left.start();
        until("it remembers", () -> left.outOfRotation() == 1);
        assertFalse(left.exit(CACHE));
        fleet.members.get(0).start();
        until("with one more it agrees again", () -> left.exit(CACHE));
        fleet.members.get(1).start();
        everywhereOut(fleet.members, 0);
        fleet.members.forEach(m -> m.process.destroyForcibly());
        fleet.start();
        fleet.awaitLeader(fleet.members);
        everywhereOut(fleet.members, 0);
    }

    @Test
    void aMemberWithoutItsFolderLearnsAnewAndOneIsReplacedWhileTheOthersServe() throws Exception {
        until("out", () -> fleet.members.get(0).enter(CACHE));
        ClusterProcesses.Member leader = fleet.awaitLeader(fleet.members);
        for (ClusterProcesses.Member lost : fleet.but(leader)) {
            lost.kill();
            delete(lost.data);
            lost.start(); // Not laid again: a newcomer.
            until("it votes again", () -> {
                // Its state first: the leader's status from before it was seen to be new shows the vote of its old
                // folder.
                boolean learned = lost.out(CACHE);
                JsonObject s = learned ? fleet.confirmed(fleet.members) : null;
                return s != null
                        && s.getJsonArray("members").stream()
                                .map(o -> (JsonObject) o)
                                .allMatch(o -> o.getBoolean("voter"));
            });
        }
        everywhereOut(fleet.members, 1);
        leader.kill();
        fleet.awaitLeader(fleet.but(leader));
        until("back", () -> fleet.but(leader).get(0).exit(CACHE));
    }

    @Test
    void aMemberBackWithAnOldFolderIsNoticedAndCountsNoMore() throws Exception {
        // So also the old folder knows it as out: that it is known there proves nothing.
        until("out before", () -> fleet.members.get(0).enter(CACHE));
        ClusterProcesses.Member leader, old;
        do { // Only the leader to whom it had said more notices.
            leader = fleet.awaitLeader(fleet.members);
            old = fleet.but(leader).get(0);
        } while (!regressesUnder(leader, old));
        ClusterProcesses.Member third = fleet.but(leader, old).get(0), back = old;
        third.kill();
        assertFalse(leader.exit(CACHE), "what has forgotten makes no majority");
        third.start();
        until("the others agree without it", () -> third.enter(CACHE));
        back.kill();
        delete(back.data);
        back.start();
        until("emptied, it learns anew and votes", () -> back.out(CACHE) && fleet.among(fleet.members, back, true));
    }

    /**
     * Has a follower say that it saved entries, and gives it a folder from before them. False if another member has come
     * to lead meanwhile, who can't know.
     */
    private boolean regressesUnder(ClusterProcesses.Member leader, ClusterProcesses.Member follower) throws Exception {
        long term = leader.status().getLong("term");
        ClusterProcesses.Member third = fleet.but(leader, follower).get(0);
        follower.kill();
        Path copy = folder.resolve("copy-" + term);
        copy(follower.data, copy);
        follower.start();
        until("new entries", () -> third.exit(CACHE) && third.enter(CACHE));
        // A follower applies what is agreed before its own disk has it: only the leader knows what it said it had
        // saved.
        until(
                "the follower has said that it saved them, unless another leads by now",
                () -> leads(leader, term, s -> lag(s, follower) == 0) || ledByAnother(leader, term));
        follower.kill();
        delete(follower.data);
        copy(copy, follower.data);
        follower.start();
        String notice = "cluster.member_regressed name=" + follower.name;
        until("noticed, unless another leads by now", () -> fleet.logged(notice) || ledByAnother(leader, term));
        return fleet.logged(notice);
    }

    private static boolean leads(ClusterProcesses.Member member, long term, Predicate<JsonObject> status) {
        JsonObject s = member.status();
        return s != null && s.getLong("term") == term && s.getString("role").equals("leader") && status.test(s);
    }

    private static boolean ledByAnother(ClusterProcesses.Member leader, long term) {
        JsonObject s = leader.status();
        return s != null && (s.getLong("term") != term || !s.getString("role").equals("leader"));
    }

    /** How many entries a member lacks of the leader's, by what it has said it saved. */
    private static long lag(JsonObject leaderStatus, ClusterProcesses.Member member) {
        return leaderStatus.getJsonArray("members").stream()
                .map(JsonObject.class::cast)
                .filter(m -> m.getString("name").equals(member.name) && m.getValue("lag") != null)
                .mapToLong(m -> m.getLong("lag"))
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private static void copy(Path from, Path to) throws Exception {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path p : files.toList()) {
                Files.copy(p, to.resolve(p.getFileName()));
            }
        }
    }

    @Test
    void twoMembersAreSwappedForNewOnesDuringARollingRestart() throws Exception {
        ClusterProcesses.Member a = fleet.members.get(0), b = fleet.members.get(1), c = fleet.members.get(2);
        List<ClusterProcesses.Member> fresh = fleet.grow(2);
        ClusterProcesses.Member d = fresh.get(0), e = fresh.get(1);
        until("out", () -> a.enter(CACHE));
        try (RandomOperators words =
                new RandomOperators(fleet, 5, OTHER)) { // It waits in line all the while, or is withdrawn.
            d.start();
            e.start();
            stop(a);
            swapIn(d, List.of(b, c));
            fleet.write(a, List.of(a, d, e));
            a.start();
            swapOut(b, List.of(a, b, c, d));
            stop(b);
            stop(c);
            swapIn(e, List.of(a, d));
            fleet.write(c, List.of(c, d, e));
            c.start();
            swapOut(c, List.of(a, c, d, e));
            stop(c);
            fleet.write(d, List.of(a, d, e));
            stop(d);
            d.start();
        }
        List<ClusterProcesses.Member> now = List.of(a, d, e);
        fleet.awaitLeader(now);
        until(
                "they know of themselves alone",
                () -> now.stream().allMatch(m -> {
                    JsonObject s = m.status();
                    return s != null
                            && s.getJsonArray("members").stream()
                                    .map(o -> ((JsonObject) o))
                                    .allMatch(o -> o.getBoolean("voter")
                                            && now.stream().anyMatch(x -> x.name.equals(o.getString("name"))))
                            && s.getJsonArray("members").size() == 3;
                }));
        until("what was said is kept", () -> now.stream().allMatch(m -> m.out(CACHE)));
        fleet.awaitHolder("maintenance", now);
        ClusterProcesses.Member leader = fleet.awaitLeader(now);
        leader.kill();
        until("the new ones bear a loss", () -> now.stream().anyMatch(m -> m != leader && m.exit(CACHE)));
    }

    private static void stop(ClusterProcesses.Member m) throws Exception {
        until("it is up", () -> m.status() != null); // Before that a signal ends the program at once.
        m.signal("TERM");
        assertEquals(0, m.process.waitFor());
    }

    private void swapIn(ClusterProcesses.Member m, List<ClusterProcesses.Member> by) throws Exception {
        until(m.name + " votes", () -> {
            if (!fleet.among(by, m, false)) {
                fleet.change(
                        by,
                        "/cluster/add",
                        new JsonObject().put("name", m.name).put("address", ClusterProcesses.HOST + ":" + m.port));
            }
            return fleet.among(by, m, true);
        });
    }

    private void swapOut(ClusterProcesses.Member m, List<ClusterProcesses.Member> by) throws Exception {
        until(m.name + " is a member no more", () -> {
            JsonObject s = fleet.confirmed(by);
            if (s == null) {
                return false;
            }
            if (s.getJsonArray("members").stream()
                    .noneMatch(o -> ((JsonObject) o).getString("name").equals(m.name))) {
                return true;
            }
            fleet.change(by, "/cluster/remove", new JsonObject().put("name", m.name));
            return false;
        });
    }

    @Test
    void aPlannedStopHandsOnFirst() throws Exception {
        ClusterProcesses.Member holder = fleet.awaitHolder("maintenance", fleet.members);
        holder.signal("TERM");
        assertEquals(0, holder.process.waitFor());
        assertTrue(fleet.log.stream().noneMatch(l -> l.startsWith(holder.name + " ") && l.contains("ERROR")));
        fleet.awaitHolder("maintenance", fleet.but(holder));
        // A stand-by hands on too, and keeps its vote.
        ClusterProcesses.Member next = fleet.awaitHolder("maintenance", fleet.but(holder));
        assertTrue(next.call("POST /standby", "").startsWith("HTTP/1.1 200"), () -> fleet.told());
        until("handed on", () -> {
            ClusterProcesses.Member h = fleet.holder("maintenance", fleet.but(holder));
            return h != null && h != next;
        });
        ClusterProcesses.Member third = fleet.awaitHolder("maintenance", fleet.but(holder));
        assertTrue(next.call("POST /active", "").startsWith("HTTP/1.1 200"), () -> fleet.told());
        until("handed on by an operator", () -> {
            try {
                return fleet.run(
                                "cluster",
                                "hand-on",
                                "maintenance",
                                "--to",
                                next.name,
                                "--admin",
                                ClusterProcesses.HOST + ":" + third.admin)
                        == 0;
            } catch (Exception e) {
                return false;
            }
        });
        until("to whom it was to go", () -> fleet.holder("maintenance", List.of(next)) != null);
    }

    @Test
    void slowLinksThatLoseAndDelayOnlyDelay() throws Exception {
        for (ClusterProcesses.Member a : fleet.members) {
            for (ClusterProcesses.Member b : fleet.but(a)) {
                fleet.link(a, b).delay(15);
                fleet.link(a, b).slow(700);
            }
        }
        until("out", () -> fleet.members.get(0).enter(CACHE));
        fleet.link(fleet.members.get(0), fleet.members.get(1)).reset();
        fleet.link(fleet.members.get(2), fleet.members.get(1)).reset();
        everywhereOut(fleet.members, 1);
        until("back", () -> fleet.members.get(1).exit(CACHE));
        everywhereOut(fleet.members, 0);
    }

    @Test
    void aFullDiskSilencesTheMemberAndNotTheDirector() throws Exception {
        ClusterProcesses.Member full =
                fleet.but(fleet.awaitLeader(fleet.members)).get(0);
        List<ClusterProcesses.Member> rest = fleet.but(full);
        full.kill();
        full.blocks = 8; // No file over 8 KB: soon there is no room for the log.
        full.start();
        until("the disk is full", () -> {
            rest.get(0).enter(CACHE);
            rest.get(1).exit(CACHE);
            return fleet.logged(full.name + " ")
                    && fleet.log.stream().anyMatch(l -> l.startsWith(full.name) && l.contains("cluster.disk_failed"));
        });
        until("the others agree on", () -> rest.get(0).enter(CACHE));
        assertTrue(full.call("GET /status", "").startsWith("HTTP/1.1 200"), "the director serves on");
        full.kill();
        full.blocks = 0;
        full.start();
        until("with room again it catches up", () -> full.out(CACHE));
    }

    @Test
    void whatCannotBeUsedIsRefusedWithAReason() throws Exception {
        ClusterProcesses.Member m = fleet.members.get(0);
        m.kill();
        // Two processes, one folder.
        ClusterProcesses.Member twin = fleet.new Member(0);
        twin.config = m.config;
        m.start();
        until("open", () -> m.status() != null);
        twin.start();
        assertEquals(2, twin.process.waitFor());
        until("told", () -> fleet.logged("is in use by another process"));
        assertEquals(1, fleet.run("cluster", "init", m.config.toString()), "a used folder is not laid again");
        assertEquals(0, fleet.run("cluster", "inspect", m.data.toString()), "a look changes nothing");
        until("unharmed", () -> m.status() != null && m.status().getBoolean("open"));
        m.kill();
        // Damage before what was saved later.
        Path log;
        try (Stream<Path> files = Files.list(m.data)) {
            log = files.filter(f -> f.getFileName().toString().startsWith("log-"))
                    .max(Comparator.comparingLong(f -> f.toFile().length()))
                    .orElseThrow();
        }
        try (FileChannel f = FileChannel.open(log, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            f.write(java.nio.ByteBuffer.wrap(new byte[] {7, 7, 7}), f.size() / 2);
        }
        m.start();
        assertEquals(2, m.process.waitFor());
        until("told", () -> fleet.logged("empty the folder and let the member learn anew from the others"));
        delete(m.data);
        Files.writeString(m.data, "no folder");
        m.start();
        assertEquals(2, m.process.waitFor());
        Files.delete(m.data);
        Path usable = m.data;
        m.data = Path.of("/proc/pewtercourse"); // Nobody can write there, whoever runs this.
        fleet.write(m, fleet.members);
        m.start();
        assertEquals(2, m.process.waitFor());
        until(
                "told",
                () -> fleet.log.stream()
                        .anyMatch(l -> l.contains("cluster.unusable") && l.contains("/proc/pewtercourse")));
        m.data = usable;
        fleet.write(m, fleet.members);
        m.start();
        until(
                "as a newcomer it comes back",
                () -> m.status() != null && m.status().getString("leader") != null);
    }

    @Test
    void theCheckOfActsFindsWhatItIsFor() {
        String first = "d0 10 INFO duty.assigned duty=maintenance holder=d0 token=1",
                second = "d1 20 INFO duty.assigned duty=maintenance holder=d1 token=2",
                act = " INFO duty.act order=GrantMaintenance[target=s-1, ticket=5, token=";
        checkActs(List.of(first, second, "d0 15" + act + "1]", "d1 25" + act + "2]"));
        for (List<String> wrong : List.of(
                List.of(first, "d1 20 INFO duty.assigned duty=maintenance holder=d1 token=1"),
                List.of(second, "d1 30 INFO duty.assigned duty=maintenance holder=d0 token=1"),
                List.of(first, second, "d1 25" + act + "2]", "d0 26" + act + "1]"),
                List.of(first, second, "d0 26" + act + "2]"))) {
            assertThrows(AssertionError.class, () -> checkActs(wrong), wrong.toString());
        }
    }

    private static void delete(Path folder) throws Exception {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
