package pewtercourse.raft;

import java.util.List;
import java.util.Random;
import pewtercourse.lease.wire.LeaseWire;

/**
 * Draws random commands of the lease state machine in their encoded form. Most of them are valid in the given state.
 */
final class LeaseCommandSource {
    private static final List<String> LEASES = List.of("warden", "divider", "sites");
    private static final int COMMAND_CASES = 16;
    private static final int CACHES = 12;
    private static final double STALE_RATE = 0.1;

    private final Random random;
    private long lastId;

    LeaseCommandSource(Random random) {
        this.random = random;
    }

    /**
     * Returns the next command in the name of {@code proposer}, or of a lease holder where only the holder may send it.
     */
    byte[] next(String proposer, LeaseWire.Snapshot state, List<String> members) {
        LeaseWire.Command.Builder command =
                LeaseWire.Command.newBuilder().setProposer(proposer).setId(++lastId);
        switch (random.nextInt(COMMAND_CASES)) {
            case 0, 1, 2, 3 -> leaseCommand(command, findLease(state, pick(LEASES)), pick(members));
            case 4 ->
                command.setDrainCache(
                        LeaseWire.DrainCache.newBuilder().setAtUnixMs(lastId).setTarget(pickCache()));
            case 5 -> reinstateCache(command, state);
            case 6, 7 -> requestMaintenance(command, state);
            case 8 -> grantMaintenance(command, state);
            case 9 -> cancelMaintenance(command, state);
            case 10, 11 ->
                command.setRequestQuota(LeaseWire.RequestQuota.newBuilder().setThousandths(random.nextInt(400)));
            case 12 -> grantQuota(command, state);
            case 13 -> releaseQuota(command, state);
            case 14 ->
                command.setSetEligibility(LeaseWire.SetEligibility.newBuilder().setEligible(random.nextInt(4) > 0));
            default ->
                command.setReportAbsence(LeaseWire.ReportAbsence.newBuilder()
                        .setMember(pick(members))
                        .setAbsent(random.nextInt(3) == 0));
        }
        return command.build().toByteArray();
    }

    private void leaseCommand(LeaseWire.Command.Builder command, LeaseWire.Lease lease, String member) {
        String name = lease.getName();
        long token = lease.getToken() + (drawStale() ? 1 : 0);
        if (lease.getHolder().isEmpty() || random.nextInt(6) == 0) {
            command.setAssignLease(LeaseWire.AssignLease.newBuilder()
                    .setLease(name)
                    .setHolder(member)
                    .setToken(token)
                    .setRenewals(lease.getRenewals()));
            return;
        }
        command.setProposer(lease.getHolder());
        switch (random.nextInt(4)) {
            case 0 ->
                command.setReleaseLease(LeaseWire.ReleaseLease.newBuilder()
                        .setLease(name)
                        .setToken(token)
                        .setSuccessor(random.nextBoolean() ? member : ""));
            case 1 ->
                command.setRequestTransfer(LeaseWire.RequestTransfer.newBuilder()
                        .setLease(name)
                        .setToken(token)
                        .setPreferredHolder(member));
            default ->
                command.setRenewLease(LeaseWire.RenewLease.newBuilder()
                        .setLease(name)
                        .setToken(token)
                        .setRenewals(lease.getRenewals()));
        }
    }

    private void reinstateCache(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        String target = state.getDrainedCount() == 0
                ? pickCache()
                : state.getDrained(random.nextInt(state.getDrainedCount())).getTarget();
        command.setReinstateCache(LeaseWire.ReinstateCache.newBuilder()
                .setTarget(target)
                .setAtUnixMs(lastId)
                .setExpectedEntry(drawStale() ? 1 : lastOperatorEntry(state, target)));
    }

    private void requestMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        String target = pickCache();
        command.setRequestMaintenance(LeaseWire.RequestMaintenance.newBuilder()
                .setTarget(target)
                .setZone("z" + random.nextInt(2))
                .setAtUnixMs(lastId)
                .setExpectedEntry(drawStale() ? 1 : lastOperatorEntry(state, target)));
    }

    private void grantMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        LeaseWire.MaintenanceRequest request = pickMaintenanceRequest(state);
        command.setGrantMaintenance(LeaseWire.GrantMaintenance.newBuilder()
                .setTarget(request.getTarget())
                .setRequest(request.getNumber())
                .setToken(findLease(state, "warden").getToken() + (drawStale() ? 1 : 0))
                .setAtUnixMs(lastId));
    }

    private void cancelMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        LeaseWire.MaintenanceRequest request = pickMaintenanceRequest(state);
        command.setCancelMaintenance(LeaseWire.CancelMaintenance.newBuilder()
                .setTarget(request.getTarget())
                .setRequest(request.getNumber())
                .setToken(random.nextBoolean() ? 0 : findLease(state, "warden").getToken())
                .setAtUnixMs(lastId));
    }

    private void grantQuota(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        LeaseWire.QuotaRequest request = state.getQuotaRequestCount() == 0
                ? LeaseWire.QuotaRequest.newBuilder().setMember("m0").build()
                : state.getQuotaRequest(random.nextInt(state.getQuotaRequestCount()));
        command.setGrantQuota(LeaseWire.GrantQuota.newBuilder()
                .setGrantee(request.getMember())
                .setRequestEntry(request.getEntry())
                .setThousandths(request.getThousandths())
                .setToken(findLease(state, "divider").getToken())
                .setPool(1_500));
    }

    private void releaseQuota(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        long grant = state.getQuotaGrantCount() == 0
                ? lastId
                : state.getQuotaGrant(random.nextInt(state.getQuotaGrantCount()))
                        .getNumber();
        command.setReleaseQuota(LeaseWire.ReleaseQuota.newBuilder()
                .setGrant(grant)
                .setToken(findLease(state, "divider").getToken()));
    }

    private LeaseWire.MaintenanceRequest pickMaintenanceRequest(LeaseWire.Snapshot state) {
        return state.getMaintenanceRequestCount() == 0
                ? LeaseWire.MaintenanceRequest.newBuilder()
                        .setTarget(pickCache())
                        .setNumber(lastId)
                        .build()
                : state.getMaintenanceRequest(random.nextInt(state.getMaintenanceRequestCount()));
    }

    private static LeaseWire.Lease findLease(LeaseWire.Snapshot state, String name) {
        return state.getLeaseList().stream()
                .filter(lease -> lease.getName().equals(name))
                .findFirst()
                .orElse(LeaseWire.Lease.newBuilder().setName(name).build());
    }

    private static long lastOperatorEntry(LeaseWire.Snapshot state, String target) {
        return state.getOperatorCommandList().stream()
                .filter(operatorCommand -> operatorCommand.getTarget().equals(target))
                .mapToLong(LeaseWire.OperatorCommand::getEntry)
                .findFirst()
                .orElse(0);
    }

    private boolean drawStale() {
        return random.nextDouble() < STALE_RATE;
    }

    private String pickCache() {
        return "cache" + random.nextInt(CACHES);
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
