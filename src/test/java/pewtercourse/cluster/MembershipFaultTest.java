package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests members that lose their data folder, restart with an old folder, or are replaced. */
class MembershipFaultTest extends ClusterFaultTestBase {
    @Test
    void membersThatLoseTheirFoldersCopyTheLogAndVoteAgain() throws Exception {
        await("cache drained", () -> cluster.members.get(0).enterMaintenance(CACHE));
        MemberProcess leader = cluster.awaitLeader(cluster.members);
        for (MemberProcess restarted : cluster.except(leader)) {
            restarted.kill();
            deleteFolder(restarted.dataFolder);
            restarted.start(); // Without a new initialization it joins as a new member.
            // Checks its state first: until the leader detects the lost folder, the leader's status still lists the
            // member as a voter.
            await("restarted member votes again", () -> restarted.isDrained(CACHE) && allMembersVote());
        }
        awaitOutOfRotation(cluster.members, 1);
        leader.kill();
        cluster.awaitLeader(cluster.except(leader));
        await("cache reinstated", () -> cluster.except(leader).get(0).exitMaintenance(CACHE));
    }

    private boolean allMembersVote() {
        JsonObject status = cluster.confirmedStatus(cluster.members);
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .allMatch(listed -> listed.getBoolean("voter"));
    }

    @Test
    void aMemberRestoredFromAnOldFolderIsDetectedAndNotCounted() throws Exception {
        // The old folder also contains this drain, so that knowing the drain does not show a current state.
        await("cache drained before the copy", () -> cluster.members.get(0).enterMaintenance(CACHE));
        MemberProcess leader;
        MemberProcess candidate;
        do { // Only the leader that received the acknowledgements detects the loss.
            leader = cluster.awaitLeader(cluster.members);
            candidate = cluster.except(leader).get(0);
        } while (!detectsLostLog(leader, candidate));
        MemberProcess restored = candidate;
        MemberProcess third = cluster.except(leader, restored).get(0);
        third.kill();
        assertFalse(leader.exitMaintenance(CACHE), "a member that lost entries must not count for a majority");
        third.start();
        await("the other two members commit", () -> third.enterMaintenance(CACHE));
        restored.kill();
        deleteFolder(restored.dataFolder);
        restored.start();
        await(
                "member with an empty folder has copied the log and votes",
                () -> restored.isDrained(CACHE) && cluster.isListed(cluster.members, restored, true));
    }

    /**
     * Lets a follower acknowledge saved entries, then restores its folder from before them. Returns whether the leader
     * detects the loss; false if another member leads by then, which can't detect it.
     */
    private boolean detectsLostLog(MemberProcess leader, MemberProcess follower) throws Exception {
        long term = leader.status().getLong("term");
        MemberProcess third = cluster.except(leader, follower).get(0);
        follower.kill();
        Path oldFolder = folder.resolve("copy-" + term);
        copyFolder(follower.dataFolder, oldFolder);
        follower.start();
        await("new entries committed", () -> third.exitMaintenance(CACHE) && third.enterMaintenance(CACHE));
        // A follower applies committed entries before they are on its disk, so only the leader's status shows which
        // entries it has acknowledged.
        await(
                "the follower has acknowledged the entries, or another member leads",
                () -> leads(leader, term, status -> lag(status, follower) == 0) || ledByAnother(leader, term));
        follower.kill();
        deleteFolder(follower.dataFolder);
        copyFolder(oldFolder, follower.dataFolder);
        follower.start();
        String lossEvent = "cluster.member_regressed name=" + follower.name;
        await(
                "the loss is detected, or another member leads",
                () -> cluster.logged(lossEvent) || ledByAnother(leader, term));
        return cluster.logged(lossEvent);
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

    /** Returns the number of the leader's entries that a member has not acknowledged as saved. */
    private static long lag(JsonObject leaderStatus, MemberProcess member) {
        return leaderStatus.getJsonArray("members").stream()
                .map(JsonObject.class::cast)
                .filter(listed -> listed.getString("name").equals(member.name) && listed.getValue("lag") != null)
                .mapToLong(listed -> listed.getLong("lag"))
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    @Test
    void replacesTwoMembersDuringARollingRestart() throws Exception {
        MemberProcess kept = cluster.members.get(0);
        MemberProcess firstReplaced = cluster.members.get(1);
        MemberProcess secondReplaced = cluster.members.get(2);
        List<MemberProcess> added = cluster.addProcesses(2);
        MemberProcess firstNew = added.get(0);
        MemberProcess secondNew = added.get(1);
        List<MemberProcess> finalMembers = List.of(kept, firstNew, secondNew);
        await("cache drained", () -> kept.enterMaintenance(CACHE));
        try (RandomOperators operators =
                new RandomOperators(cluster, 5, OTHER_CACHE)) { // Its requests are queued or cancelled.
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
        assertSurvivesLossOfLeader(finalMembers);
    }

    private void awaitReplaced(List<MemberProcess> finalMembers) throws Exception {
        cluster.awaitLeader(finalMembers);
        await(
                "the members list only themselves",
                () -> finalMembers.stream().allMatch(member -> listsExactly(member, finalMembers)));
        await(
                "the members keep the committed drain",
                () -> finalMembers.stream().allMatch(member -> member.isDrained(CACHE)));
        cluster.awaitLeaseHolder("maintenance", finalMembers);
    }

    private void assertSurvivesLossOfLeader(List<MemberProcess> finalMembers) throws Exception {
        MemberProcess leader = cluster.awaitLeader(finalMembers);
        leader.kill();
        await(
                "the remaining members commit without the leader",
                () -> finalMembers.stream().anyMatch(member -> member != leader && member.exitMaintenance(CACHE)));
    }

    /** Returns whether a member lists exactly these members, all as voters. */
    private static boolean listsExactly(MemberProcess member, List<MemberProcess> expected) {
        JsonObject status = member.status();
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .allMatch(listed -> listed.getBoolean("voter")
                                && ClusterProcesses.names(expected).contains(listed.getString("name")))
                && status.getJsonArray("members").size() == expected.size();
    }

    private void addMember(MemberProcess member, List<MemberProcess> contacts) throws Exception {
        JsonObject request = new JsonObject()
                .put("name", member.name)
                .put("address", ClusterProcesses.HOST + ":" + member.clusterPort);
        await(member.name + " votes", () -> {
            if (!cluster.isListed(contacts, member, false)) {
                cluster.postToLeader(contacts, "/cluster/add", request);
            }
            return cluster.isListed(contacts, member, true);
        });
    }

    private void removeMember(MemberProcess member, List<MemberProcess> contacts) throws Exception {
        await(member.name + " removed", () -> {
            JsonObject status = cluster.confirmedStatus(contacts);
            if (status == null) {
                return false;
            }
            boolean listed = status.getJsonArray("members").stream()
                    .map(JsonObject.class::cast)
                    .anyMatch(other -> other.getString("name").equals(member.name));
            if (listed) {
                cluster.postToLeader(contacts, "/cluster/remove", new JsonObject().put("name", member.name));
            }
            return !listed;
        });
    }
}
