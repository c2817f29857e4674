package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import pewtercourse.lease.wire.LeaseWire;

/** Between commands and their form in the log. */
public final class CommandCodec {
    private CommandCodec() {}

    public static byte[] encode(Command.Envelope s) {
        LeaseWire.Command.Builder b =
                LeaseWire.Command.newBuilder().setBy(s.by()).setId(s.id());
        Command c = s.command();
        if (c instanceof Command.AssignLease a) {
            b.setAssign(LeaseWire.Assign.newBuilder()
                    .setDuty(WireNames.toWire(a.duty()))
                    .setTo(a.to())
                    .setToken(a.token())
                    .setRenewals(a.renewals()));
        } else if (c instanceof Command.RenewLease r) {
            b.setRenew(LeaseWire.Renew.newBuilder()
                    .setDuty(WireNames.toWire(r.duty()))
                    .setToken(r.token())
                    .setRenewals(r.renewals()));
        } else if (c instanceof Command.ReleaseLease h) {
            b.setHandOn(LeaseWire.HandOn.newBuilder()
                    .setDuty(WireNames.toWire(h.duty()))
                    .setToken(h.token())
                    .setTo(h.to()));
        } else if (c instanceof Command.RequestTransfer p) {
            b.setPrefer(LeaseWire.Prefer.newBuilder()
                    .setDuty(WireNames.toWire(p.duty()))
                    .setToken(p.token())
                    .setTo(p.to()));
        } else if (c instanceof Command.ReportAbsence a) {
            b.setAbsent(LeaseWire.Absent.newBuilder().setMember(a.member()).setAbsent(a.absent()));
        } else if (c instanceof Command.DrainCache o) {
            b.setOut(LeaseWire.Out.newBuilder()
                    .setTarget(o.target())
                    .setAtMs(o.atMs())
                    .setAfter(o.after()));
        } else if (c instanceof Command.ReinstateCache o) {
            b.setBack(LeaseWire.Back.newBuilder()
                    .setTarget(o.target())
                    .setAtMs(o.atMs())
                    .setAfter(o.after()));
        } else if (c instanceof Command.RequestMaintenance a) {
            b.setAsk(LeaseWire.Ask.newBuilder()
                    .setTarget(a.target())
                    .setZone(a.zone())
                    .setAtMs(a.atMs())
                    .setAfter(a.after()));
        } else if (c instanceof Command.GrantMaintenance l) {
            b.setLet(LeaseWire.Let.newBuilder()
                    .setTarget(l.target())
                    .setTicket(l.ticket())
                    .setToken(l.token())
                    .setAtMs(l.atMs()));
        } else if (c instanceof Command.CancelMaintenance w) {
            b.setWithdraw(LeaseWire.Withdraw.newBuilder()
                    .setTarget(w.target())
                    .setTicket(w.ticket())
                    .setToken(w.token())
                    .setAtMs(w.atMs()));
        } else if (c instanceof Command.RequestQuota o) {
            b.setBorrow(LeaseWire.Borrow.newBuilder().setThousandths(o.thousandths()));
        } else if (c instanceof Command.GrantQuota l) {
            b.setLend(LeaseWire.Lend.newBuilder()
                    .setTo(l.to())
                    .setAsk(l.ask())
                    .setThousandths(l.thousandths())
                    .setToken(l.token())
                    .setPool(l.pool()));
        } else if (c instanceof Command.ReleaseQuota t) {
            b.setSettle(LeaseWire.Settle.newBuilder().setLoan(t.loan()).setToken(t.token()));
        } else if (c instanceof Command.SetEligibility t) {
            b.setStanding(LeaseWire.Standing.newBuilder().setWilling(t.willing()));
        } else if (c instanceof Command.ReportSiteObservation t) {
            b.setSighted(FailoverCodec.encode(t));
        } else if (c instanceof Command.ChangeSiteStatus d) {
            b.setDeclare(FailoverCodec.encode(d));
        } else if (c instanceof Command.PublishFailoverPlan p) {
            b.setPlanned(LeaseWire.Planned.newBuilder()
                    .setPlan(FailoverCodec.encode(p.plan()))
                    .setToken(p.token()));
        } else if (c instanceof Command.PauseSiteRecovery h) {
            b.setHoldSite(LeaseWire.HoldSite.newBuilder()
                    .setSite(h.site())
                    .setOn(h.on())
                    .setAfter(h.after()));
        } else if (c instanceof Command.StartFailoverDrill d) {
            b.setDrill(LeaseWire.Drill.newBuilder().setSite(d.site()).setAfter(d.after()));
        }
        return b.build().toByteArray();
    }

    /** Throws on what no command is. */
    public static Command.Envelope decode(byte[] bytes) throws InvalidProtocolBufferException {
        LeaseWire.Command c = LeaseWire.Command.parseFrom(bytes);
        Command what = switch (c.getWhatCase()) {
            case ASSIGN ->
                new Command.AssignLease(
                        WireNames.fromWire(c.getAssign().getDuty()),
                        c.getAssign().getTo(),
                        c.getAssign().getToken(),
                        c.getAssign().getRenewals());
            case RENEW ->
                new Command.RenewLease(
                        WireNames.fromWire(c.getRenew().getDuty()),
                        c.getRenew().getToken(),
                        c.getRenew().getRenewals());
            case HAND_ON ->
                new Command.ReleaseLease(
                        WireNames.fromWire(c.getHandOn().getDuty()),
                        c.getHandOn().getToken(),
                        c.getHandOn().getTo());
            case PREFER ->
                new Command.RequestTransfer(
                        WireNames.fromWire(c.getPrefer().getDuty()),
                        c.getPrefer().getToken(),
                        c.getPrefer().getTo());
            case ABSENT ->
                new Command.ReportAbsence(
                        c.getAbsent().getMember(), c.getAbsent().getAbsent());
            case OUT ->
                new Command.DrainCache(
                        c.getOut().getTarget(), c.getOut().getAtMs(), c.getOut().getAfter());
            case BACK ->
                new Command.ReinstateCache(
                        c.getBack().getTarget(),
                        c.getBack().getAtMs(),
                        c.getBack().getAfter());
            case ASK ->
                new Command.RequestMaintenance(
                        c.getAsk().getTarget(),
                        c.getAsk().getZone(),
                        c.getAsk().getAtMs(),
                        c.getAsk().getAfter());
            case LET ->
                new Command.GrantMaintenance(
                        c.getLet().getTarget(),
                        c.getLet().getTicket(),
                        c.getLet().getToken(),
                        c.getLet().getAtMs());
            case WITHDRAW ->
                new Command.CancelMaintenance(
                        c.getWithdraw().getTarget(),
                        c.getWithdraw().getTicket(),
                        c.getWithdraw().getToken(),
                        c.getWithdraw().getAtMs());
            case BORROW -> new Command.RequestQuota(c.getBorrow().getThousandths());
            case LEND ->
                new Command.GrantQuota(
                        c.getLend().getTo(),
                        c.getLend().getAsk(),
                        c.getLend().getThousandths(),
                        c.getLend().getToken(),
                        c.getLend().getPool());
            case SETTLE ->
                new Command.ReleaseQuota(c.getSettle().getLoan(), c.getSettle().getToken());
            case STANDING -> new Command.SetEligibility(c.getStanding().getWilling());
            case SIGHTED -> FailoverCodec.decode(c.getSighted());
            case DECLARE -> FailoverCodec.decode(c.getDeclare());
            case PLANNED ->
                new Command.PublishFailoverPlan(
                        FailoverCodec.decode(c.getPlanned().getPlan()),
                        c.getPlanned().getToken());
            case HOLD_SITE ->
                new Command.PauseSiteRecovery(
                        c.getHoldSite().getSite(),
                        c.getHoldSite().getOn(),
                        c.getHoldSite().getAfter());
            case DRILL ->
                new Command.StartFailoverDrill(
                        c.getDrill().getSite(), c.getDrill().getAfter());
            case WHAT_NOT_SET -> throw new InvalidProtocolBufferException("a command of a later version");
        };
        return new Command.Envelope(c.getBy(), c.getId(), what);
    }
}
