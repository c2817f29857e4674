package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Members that lose their data folder, come back with an old one, or are replaced. */
class MembershipFaultTest extends ClusterFaultTestBase {
    @Test
    void membersWithoutTheirFoldersLearnAnewOneAfterTheOther() throws Exception {
        await("out", () -> cluster.members.get(0).enterMaintenance(CACHE));
        MemberProcess leader = cluster.awaitLeader(cluster.members);
        for (MemberProcess lost : cluster.except(leader)) {
            lost.kill();
            deleteFolder(lost.dataFolder);
            lost.start(); // Not initialized again: a new member.
            // Its state first: the leader's status from before it was seen to be new shows the vote of its old folder.
            await("it votes again", () -> lost.isDrained(CACHE) && allVote());
        }
        awaitOutOfRotation(cluster.members, 1);
        leader.kill();
        cluster.awaitLeader(cluster.except(leader));
        await("back", () -> cluster.except(leader).get(0).exitMaintenance(CACHE));
    }

    private boolean allVote() {
        JsonObject status = cluster.confirmedStatus(cluster.members);
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .allMatch(listed -> listed.getBoolean("voter"));
    }

    @Test
    void aMemberBackWithAnOldFolderIsNoticedAndCountsNoMore() throws Exception {
        // So also the old folder knows it as out: that it is known there proves nothing.
        await("out before", () -> cluster.members.get(0).enterMaintenance(CACHE));
        MemberProcess leader;
        MemberProcess candidate;
        do { // Only the leader to whom it had said more notices.
            leader = cluster.awaitLeader(cluster.members);
            candidate = cluster.except(leader).get(0);
        } while (!losesLogUnder(leader, candidate));
        MemberProcess restored = candidate;
        MemberProcess third = cluster.except(leader, restored).get(0);
        third.kill();
        assertFalse(leader.exitMaintenance(CACHE), "what has forgotten makes no majority");
        third.start();
        await("the others commit without it", () -> third.enterMaintenance(CACHE));
        restored.kill();
        deleteFolder(restored.dataFolder);
        restored.start();
        await(
                "emptied, it learns anew and votes",
                () -> restored.isDrained(CACHE) && cluster.isListed(cluster.members, restored, true));
    }

    /**
     * Has a follower say that it saved entries, and gives it a folder from before them. False if another member has come
     * to lead meanwhile, who can't know.
     */
    private boolean losesLogUnder(MemberProcess leader, MemberProcess follower) throws Exception {
        long term = leader.status().getLong("term");
        MemberProcess third = cluster.except(leader, follower).get(0);
        follower.kill();
        Path copy = folder.resolve("copy-" + term);
        copyFolder(follower.dataFolder, copy);
        follower.start();
        await("new entries", () -> third.exitMaintenance(CACHE) && third.enterMaintenance(CACHE));
        // A follower applies what is committed before its own disk has it: only the leader knows what it said it had
        // saved.
        await(
                "the follower has said that it saved them, unless another leads by now",
                () -> leads(leader, term, status -> lag(status, follower) == 0) || ledByAnother(leader, term));
        follower.kill();
        deleteFolder(follower.dataFolder);
        copyFolder(copy, follower.dataFolder);
        follower.start();
        String notice = "cluster.member_regressed name=" + follower.name;
        await("noticed, unless another leads by now", () -> cluster.logged(notice) || ledByAnother(leader, term));
        return cluster.logged(notice);
    }

    private static boolean leads(MemberProcess member, long term, Predicate<JsonObject> condition) {
        JsonObject status = member.status();
        return status != null
                && status.getLong("term") == term
                && status.getString("role").equals("leader")
                && condition.test(status);
    }

    private static boolean ledByAnother(MemberProcess leader, long term) {
        JsonObject status = leader.status();
        return status != null
                && (status.getLong("term") != term || !status.getString("role").equals("leader"));
    }

    /** How many entries a member lacks of the leader's, by what it has said it saved. */
    private static long lag(JsonObject leaderStatus, MemberProcess member) {
        return leaderStatus.getJsonArray("members").stream()
                .map(JsonObject.class::cast)
                .filter(listed -> listed.getString("name").equals(member.name) && listed.getValue("lag") != null)
                .mapToLong(listed -> listed.getLong("lag"))
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    @Test
    void twoMembersAreReplacedDuringARollingRestart() throws Exception {
        MemberProcess kept = cluster.members.get(0);
        MemberProcess firstReplaced = cluster.members.get(1);
        MemberProcess secondReplaced = cluster.members.get(2);
        List<MemberProcess> added = cluster.addProcesses(2);
        MemberProcess firstNew = added.get(0);
        MemberProcess secondNew = added.get(1);
        List<MemberProcess> finalMembers = List.of(kept, firstNew, secondNew);
        await("out", () -> kept.enterMaintenance(CACHE));
        try (RandomOperators operators =
                new RandomOperators(cluster, 5, OTHER_CACHE)) { // It is queued all the while, or is cancelled.
            firstNew.start();
            secondNew.start();
            terminate(kept);
            addMember(firstNew, List.of(firstReplaced, secondReplaced));
            cluster.writeConfigs(kept, finalMembers);
            kept.start();
            removeMember(firstReplaced, List.of(kept, firstReplaced, secondReplaced, firstNew));
            terminate(firstReplaced);
            terminate(secondReplaced);
            addMember(secondNew, List.of(kept, firstNew));
            cluster.writeConfigs(secondReplaced, List.of(secondReplaced, firstNew, secondNew));
            secondReplaced.start();
            removeMember(secondReplaced, List.of(kept, secondReplaced, firstNew, secondNew));
            terminate(secondReplaced);
            cluster.writeConfigs(firstNew, finalMembers);
            terminate(firstNew);
            firstNew.start();
        }
        awaitReplaced(finalMembers);
        assertBearsLossOfLeader(finalMembers);
    }

    private void awaitReplaced(List<MemberProcess> finalMembers) throws Exception {
        cluster.awaitLeader(finalMembers);
        await(
                "they know of themselves alone",
                () -> finalMembers.stream().allMatch(member -> listsJust(member, finalMembers)));
        await("what was committed is kept", () -> finalMembers.stream().allMatch(member -> member.isDrained(CACHE)));
        cluster.awaitLeaseHolder("maintenance", finalMembers);
    }

    private void assertBearsLossOfLeader(List<MemberProcess> finalMembers) throws Exception {
        MemberProcess leader = cluster.awaitLeader(finalMembers);
        leader.kill();
        await(
                "the new ones bear a loss",
                () -> finalMembers.stream().anyMatch(member -> member != leader && member.exitMaintenance(CACHE)));
    }

    /** Whether a member lists these, all as voters, and nobody else. */
    private static boolean listsJust(MemberProcess member, List<MemberProcess> expected) {
        JsonObject status = member.status();
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .allMatch(listed -> listed.getBoolean("voter")
                                && ClusterProcesses.names(expected).contains(listed.getString("name")))
                && status.getJsonArray("members").size() == expected.size();
    }

    private void addMember(MemberProcess member, List<MemberProcess> by) throws Exception {
        JsonObject request = new JsonObject()
                .put("name", member.name)
                .put("address", ClusterProcesses.HOST + ":" + member.clusterPort);
        await(member.name + " votes", () -> {
            if (!cluster.isListed(by, member, false)) {
                cluster.postToLeader(by, "/cluster/add", request);
            }
            return cluster.isListed(by, member, true);
        });
    }

    private void removeMember(MemberProcess member, List<MemberProcess> by) throws Exception {
        await(member.name + " is a member no more", () -> {
            JsonObject status = cluster.confirmedStatus(by);
            if (status == null) {
                return false;
            }
            boolean listed = status.getJsonArray("members").stream()
                    .map(JsonObject.class::cast)
                    .anyMatch(other -> other.getString("name").equals(member.name));
            if (listed) {
                cluster.postToLeader(by, "/cluster/remove", new JsonObject().put("name", member.name));
            }
            return !listed;
        });
    }
}
