package pewtercourse.lease;

import pewtercourse.lease.wire.LeaseWire;

/** Encodes one command into its stored form. Each command needs a new encoder. */
final class CommandEncoder implements Command.Visitor<LeaseWire.Command.Builder> {
    private final LeaseWire.Command.Builder wire;

    CommandEncoder(LeaseWire.Command.Builder wire) {
        this.wire = wire;
    }

    @Override
    public LeaseWire.Command.Builder assignLease(Command.AssignLease command) {
        return wire.setAssignLease(LeaseWire.AssignLease.newBuilder()
                .setLease(LeaseNames.toWire(command.lease()))
                .setHolder(command.holder())
                .setToken(command.token())
                .setRenewals(command.renewals()));
    }

    @Override
    public LeaseWire.Command.Builder renewLease(Command.RenewLease command) {
        return wire.setRenewLease(LeaseWire.RenewLease.newBuilder()
                .setLease(LeaseNames.toWire(command.lease()))
                .setToken(command.token())
                .setRenewals(command.renewals()));
    }

    @Override
    public LeaseWire.Command.Builder releaseLease(Command.ReleaseLease command) {
        return wire.setReleaseLease(LeaseWire.ReleaseLease.newBuilder()
                .setLease(LeaseNames.toWire(command.lease()))
                .setToken(command.token())
                .setSuccessor(command.successor()));
    }

    @Override
    public LeaseWire.Command.Builder requestTransfer(Command.RequestTransfer command) {
        return wire.setRequestTransfer(LeaseWire.RequestTransfer.newBuilder()
                .setLease(LeaseNames.toWire(command.lease()))
                .setToken(command.token())
                .setPreferredHolder(command.preferredHolder()));
    }

    @Override
    public LeaseWire.Command.Builder reportAbsence(Command.ReportAbsence command) {
        return wire.setReportAbsence(
                LeaseWire.ReportAbsence.newBuilder().setMember(command.member()).setAbsent(command.absent()));
    }

    @Override
    public LeaseWire.Command.Builder drainCache(Command.DrainCache command) {
        return wire.setDrainCache(LeaseWire.DrainCache.newBuilder()
                .setTarget(command.target())
                .setAtUnixMs(command.atUnixMs())
                .setExpectedEntry(command.expectedEntry()));
    }

    @Override
    public LeaseWire.Command.Builder reinstateCache(Command.ReinstateCache command) {
        return wire.setReinstateCache(LeaseWire.ReinstateCache.newBuilder()
                .setTarget(command.target())
                .setAtUnixMs(command.atUnixMs())
                .setExpectedEntry(command.expectedEntry()));
    }

    @Override
    public LeaseWire.Command.Builder requestMaintenance(Command.RequestMaintenance command) {
        return wire.setRequestMaintenance(LeaseWire.RequestMaintenance.newBuilder()
                .setTarget(command.target())
                .setZone(command.zone())
                .setAtUnixMs(command.atUnixMs())
                .setExpectedEntry(command.expectedEntry()));
    }

    @Override
    public LeaseWire.Command.Builder grantMaintenance(Command.GrantMaintenance command) {
        return wire.setGrantMaintenance(LeaseWire.GrantMaintenance.newBuilder()
                .setTarget(command.target())
                .setRequest(command.request())
                .setToken(command.token())
                .setAtUnixMs(command.atUnixMs()));
    }

    @Override
    public LeaseWire.Command.Builder cancelMaintenance(Command.CancelMaintenance command) {
        return wire.setCancelMaintenance(LeaseWire.CancelMaintenance.newBuilder()
                .setTarget(command.target())
                .setRequest(command.request())
                .setToken(command.token())
                .setAtUnixMs(command.atUnixMs()));
    }

    @Override
    public LeaseWire.Command.Builder requestQuota(Command.RequestQuota command) {
        return wire.setRequestQuota(LeaseWire.RequestQuota.newBuilder()
                .setThousandths(command.thousandths())
                .setZone(command.zone()));
    }

    @Override
    public LeaseWire.Command.Builder grantQuota(Command.GrantQuota command) {
        return wire.setGrantQuota(LeaseWire.GrantQuota.newBuilder()
                .setGrantee(command.grantee())
                .setRequestEntry(command.requestEntry())
                .setThousandths(command.thousandths())
                .setToken(command.token())
                .setPool(command.pool()));
    }

    @Override
    public LeaseWire.Command.Builder releaseQuota(Command.ReleaseQuota command) {
        return wire.setReleaseQuota(
                LeaseWire.ReleaseQuota.newBuilder().setGrant(command.grant()).setToken(command.token()));
    }

    @Override
    public LeaseWire.Command.Builder setEligibility(Command.SetEligibility command) {
        return wire.setSetEligibility(LeaseWire.SetEligibility.newBuilder().setEligible(command.eligible()));
    }

    @Override
    public LeaseWire.Command.Builder reportSiteObservation(Command.ReportSiteObservation command) {
        return wire.setReportSiteObservation(FailoverCodec.encode(command));
    }

    @Override
    public LeaseWire.Command.Builder changeSiteStatus(Command.ChangeSiteStatus command) {
        return wire.setChangeSiteStatus(FailoverCodec.encode(command));
    }

    @Override
    public LeaseWire.Command.Builder publishFailoverPlan(Command.PublishFailoverPlan command) {
        return wire.setPublishFailoverPlan(LeaseWire.PublishFailoverPlan.newBuilder()
                .setPlan(FailoverCodec.encode(command.plan()))
                .setToken(command.token()));
    }

    @Override
    public LeaseWire.Command.Builder pauseSiteRecovery(Command.PauseSiteRecovery command) {
        return wire.setPauseSiteRecovery(LeaseWire.PauseSiteRecovery.newBuilder()
                .setSite(command.site())
                .setPaused(command.paused())
                .setExpectedEntry(command.expectedEntry()));
    }

    @Override
    public LeaseWire.Command.Builder startFailoverDrill(Command.StartFailoverDrill command) {
        return wire.setStartFailoverDrill(LeaseWire.StartFailoverDrill.newBuilder()
                .setSite(command.site())
                .setExpectedEntry(command.expectedEntry()));
    }
}
