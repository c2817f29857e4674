package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import pewtercourse.lease.wire.LeaseWire;

/** Encodes commands into the form in which the log stores them, and decodes them. */
public final class CommandCodec {
    private CommandCodec() {}

    /** Encodes a command into its stored form, which is also the form in which members send it to each other. */
    public static byte[] encode(Command.Envelope envelope) {
        LeaseWire.Command.Builder wire =
                LeaseWire.Command.newBuilder().setProposer(envelope.proposer()).setId(envelope.id());
        return envelope.command().accept(new CommandEncoder(wire)).build().toByteArray();
    }

    /**
     * Decodes a command.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a command, or are a command of a later version
     */
    public static Command.Envelope decode(byte[] bytes) throws InvalidProtocolBufferException {
        LeaseWire.Command wire = LeaseWire.Command.parseFrom(bytes);
        return new Command.Envelope(wire.getProposer(), wire.getId(), command(wire));
    }

    private static Command command(LeaseWire.Command wire) throws InvalidProtocolBufferException {
        return switch (wire.getKindCase()) {
            case ASSIGN_LEASE -> assignLease(wire.getAssignLease());
            case RENEW_LEASE -> renewLease(wire.getRenewLease());
            case RELEASE_LEASE -> releaseLease(wire.getReleaseLease());
            case REQUEST_TRANSFER -> requestTransfer(wire.getRequestTransfer());
            case REPORT_ABSENCE -> reportAbsence(wire.getReportAbsence());
            case DRAIN_CACHE -> drainCache(wire.getDrainCache());
            case REINSTATE_CACHE -> reinstateCache(wire.getReinstateCache());
            case REQUEST_MAINTENANCE -> requestMaintenance(wire.getRequestMaintenance());
            case GRANT_MAINTENANCE -> grantMaintenance(wire.getGrantMaintenance());
            case CANCEL_MAINTENANCE -> cancelMaintenance(wire.getCancelMaintenance());
            case REQUEST_QUOTA ->
                new Command.RequestQuota(
                        wire.getRequestQuota().getThousandths(),
                        wire.getRequestQuota().getZone());
            case GRANT_QUOTA -> grantQuota(wire.getGrantQuota());
            case RELEASE_QUOTA -> releaseQuota(wire.getReleaseQuota());
            case SET_ELIGIBILITY ->
                new Command.SetEligibility(wire.getSetEligibility().getEligible());
            case REPORT_SITE_OBSERVATION -> FailoverCodec.decode(wire.getReportSiteObservation());
            case CHANGE_SITE_STATUS -> FailoverCodec.decode(wire.getChangeSiteStatus());
            case PUBLISH_FAILOVER_PLAN -> publishFailoverPlan(wire.getPublishFailoverPlan());
            case PAUSE_SITE_RECOVERY -> pauseSiteRecovery(wire.getPauseSiteRecovery());
            case START_FAILOVER_DRILL -> startFailoverDrill(wire.getStartFailoverDrill());
            case KIND_NOT_SET ->
                throw new InvalidProtocolBufferException("unknown kind of command: it comes from a later version");
        };
    }

    private static Command assignLease(LeaseWire.AssignLease wire) {
        return new Command.AssignLease(
                LeaseNames.fromWire(wire.getLease()), wire.getHolder(), wire.getToken(), wire.getRenewals());
    }

    private static Command renewLease(LeaseWire.RenewLease wire) {
        return new Command.RenewLease(LeaseNames.fromWire(wire.getLease()), wire.getToken(), wire.getRenewals());
    }

    private static Command releaseLease(LeaseWire.ReleaseLease wire) {
        return new Command.ReleaseLease(LeaseNames.fromWire(wire.getLease()), wire.getToken(), wire.getSuccessor());
    }

    private static Command requestTransfer(LeaseWire.RequestTransfer wire) {
        return new Command.RequestTransfer(
                LeaseNames.fromWire(wire.getLease()), wire.getToken(), wire.getPreferredHolder());
    }

    private static Command reportAbsence(LeaseWire.ReportAbsence wire) {
        return new Command.ReportAbsence(wire.getMember(), wire.getAbsent());
    }

    private static Command drainCache(LeaseWire.DrainCache wire) {
        return new Command.DrainCache(wire.getTarget(), wire.getAtUnixMs(), wire.getExpectedEntry());
    }

    private static Command reinstateCache(LeaseWire.ReinstateCache wire) {
        return new Command.ReinstateCache(wire.getTarget(), wire.getAtUnixMs(), wire.getExpectedEntry());
    }

    private static Command requestMaintenance(LeaseWire.RequestMaintenance wire) {
        return new Command.RequestMaintenance(
                wire.getTarget(), wire.getZone(), wire.getAtUnixMs(), wire.getExpectedEntry());
    }

    private static Command grantMaintenance(LeaseWire.GrantMaintenance wire) {
        return new Command.GrantMaintenance(wire.getTarget(), wire.getRequest(), wire.getToken(), wire.getAtUnixMs());
    }

    private static Command cancelMaintenance(LeaseWire.CancelMaintenance wire) {
        return new Command.CancelMaintenance(wire.getTarget(), wire.getRequest(), wire.getToken(), wire.getAtUnixMs());
    }

    private static Command grantQuota(LeaseWire.GrantQuota wire) {
        return new Command.GrantQuota(
                wire.getGrantee(), wire.getRequestEntry(), wire.getThousandths(), wire.getToken(), wire.getPool());
    }

    private static Command releaseQuota(LeaseWire.ReleaseQuota wire) {
        return new Command.ReleaseQuota(wire.getGrant(), wire.getToken());
    }

    private static Command publishFailoverPlan(LeaseWire.PublishFailoverPlan wire) {
        return new Command.PublishFailoverPlan(FailoverCodec.decode(wire.getPlan()), wire.getToken());
    }

    private static Command pauseSiteRecovery(LeaseWire.PauseSiteRecovery wire) {
        return new Command.PauseSiteRecovery(wire.getSite(), wire.getPaused(), wire.getExpectedEntry());
    }

    private static Command startFailoverDrill(LeaseWire.StartFailoverDrill wire) {
        return new Command.StartFailoverDrill(wire.getSite(), wire.getExpectedEntry());
    }
}
