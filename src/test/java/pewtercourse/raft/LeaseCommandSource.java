package pewtercourse.raft;

import java.util.List;
import java.util.Random;
import pewtercourse.lease.wire.LeaseWire;

/** Draws commands of the lease state machine in their wire form, most of them valid in the state that they are drawn for. */
final class LeaseCommandSource {
    private static final List<String> LEASES = List.of("warden", "divider", "sites");
    private static final int KINDS = 16;
    private static final int TARGETS = 12;
    private static final double STALE = 0.1;

    private final Random random;
    private long lastId;

    LeaseCommandSource(Random random) {
        this.random = random;
    }

    byte[] next(String by, LeaseWire.Snapshot state, List<String> members) {
        LeaseWire.Command.Builder command =
                LeaseWire.Command.newBuilder().setProposer(by).setId(++lastId);
        switch (random.nextInt(KINDS)) {
            case 0, 1, 2, 3 -> lease(command, lease(state, pick(LEASES)), pick(members));
            case 4 ->
                command.setDrainCache(
                        LeaseWire.DrainCache.newBuilder().setAtUnixMs(lastId).setTarget(target()));
            case 5 -> returnCache(command, state);
            case 6, 7 -> requestMaintenance(command, state);
            case 8 -> grantMaintenance(command, state);
            case 9 -> cancelMaintenance(command, state);
            case 10, 11 ->
                command.setRequestQuota(LeaseWire.RequestQuota.newBuilder().setThousandths(random.nextInt(400)));
            case 12 -> grantQuota(command, state);
            case 13 -> settleQuota(command, state);
            case 14 ->
                command.setSetEligibility(LeaseWire.SetEligibility.newBuilder().setEligible(random.nextInt(4) > 0));
            default ->
                command.setReportAbsence(LeaseWire.ReportAbsence.newBuilder()
                        .setMember(pick(members))
                        .setAbsent(random.nextInt(3) == 0));
        }
        return command.build().toByteArray();
    }

    private void lease(LeaseWire.Command.Builder command, LeaseWire.Lease lease, String to) {
        String name = lease.getName();
        long token = lease.getToken() + (stale() ? 1 : 0);
        if (lease.getHolder().isEmpty() || random.nextInt(6) == 0) {
            command.setAssignLease(LeaseWire.AssignLease.newBuilder()
                    .setLease(name)
                    .setHolder(to)
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
                        .setSuccessor(random.nextBoolean() ? to : ""));
            case 1 ->
                command.setRequestTransfer(LeaseWire.RequestTransfer.newBuilder()
                        .setLease(name)
                        .setToken(token)
                        .setPreferredHolder(to));
            default ->
                command.setRenewLease(LeaseWire.RenewLease.newBuilder()
                        .setLease(name)
                        .setToken(token)
                        .setRenewals(lease.getRenewals()));
        }
    }

    private void returnCache(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        String target = state.getDrainedCount() == 0
                ? target()
                : state.getDrained(random.nextInt(state.getDrainedCount())).getTarget();
        command.setReinstateCache(LeaseWire.ReinstateCache.newBuilder()
                .setTarget(target)
                .setAtUnixMs(lastId)
                .setExpectedEntry(stale() ? 1 : lastEntry(state, target)));
    }

    private void requestMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        String target = target();
        command.setRequestMaintenance(LeaseWire.RequestMaintenance.newBuilder()
                .setTarget(target)
                .setZone("z" + random.nextInt(2))
                .setAtUnixMs(lastId)
                .setExpectedEntry(stale() ? 1 : lastEntry(state, target)));
    }

    private void grantMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        LeaseWire.MaintenanceRequest ticket = ticket(state);
        command.setGrantMaintenance(LeaseWire.GrantMaintenance.newBuilder()
                .setTarget(ticket.getTarget())
                .setRequest(ticket.getNumber())
                .setToken(lease(state, "warden").getToken() + (stale() ? 1 : 0))
                .setAtUnixMs(lastId));
    }

    private void cancelMaintenance(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        LeaseWire.MaintenanceRequest ticket = ticket(state);
        command.setCancelMaintenance(LeaseWire.CancelMaintenance.newBuilder()
                .setTarget(ticket.getTarget())
                .setRequest(ticket.getNumber())
                .setToken(random.nextBoolean() ? 0 : lease(state, "warden").getToken())
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
                .setToken(lease(state, "divider").getToken())
                .setPool(1_500));
    }

    private void settleQuota(LeaseWire.Command.Builder command, LeaseWire.Snapshot state) {
        long grant = state.getQuotaGrantCount() == 0
                ? lastId
                : state.getQuotaGrant(random.nextInt(state.getQuotaGrantCount()))
                        .getNumber();
        command.setReleaseQuota(LeaseWire.ReleaseQuota.newBuilder()
                .setGrant(grant)
                .setToken(lease(state, "divider").getToken()));
    }

    private LeaseWire.MaintenanceRequest ticket(LeaseWire.Snapshot state) {
        return state.getMaintenanceRequestCount() == 0
                ? LeaseWire.MaintenanceRequest.newBuilder()
                        .setTarget(target())
                        .setNumber(lastId)
                        .build()
                : state.getMaintenanceRequest(random.nextInt(state.getMaintenanceRequestCount()));
    }

    private static LeaseWire.Lease lease(LeaseWire.Snapshot state, String name) {
        return state.getLeaseList().stream()
                .filter(lease -> lease.getName().equals(name))
                .findFirst()
                .orElse(LeaseWire.Lease.newBuilder().setName(name).build());
    }

    private static long lastEntry(LeaseWire.Snapshot state, String target) {
        return state.getOperatorCommandList().stream()
                .filter(change -> change.getTarget().equals(target))
                .mapToLong(LeaseWire.OperatorCommand::getEntry)
                .findFirst()
                .orElse(0);
    }

    private boolean stale() {
        return random.nextDouble() < STALE;
    }

    private String target() {
        return "cache" + random.nextInt(TARGETS);
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
