package pewtercourse.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import pewtercourse.duty.wire.DutyWire;

/** Between commands and their form in the log. */
public final class DutyCodec {
    private DutyCodec() {}

    public static byte[] encode(Command.Signed s) {
        DutyWire.Command.Builder b = DutyWire.Command.newBuilder().setBy(s.by()).setId(s.id());
        Command c = s.command();
        if (c instanceof Command.Assign a) {
            b.setAssign(DutyWire.Assign.newBuilder()
                    .setDuty(WireNames.toWire(a.duty()))
                    .setTo(a.to())
                    .setToken(a.token())
                    .setRenewals(a.renewals()));
        } else if (c instanceof Command.Renew r) {
            b.setRenew(DutyWire.Renew.newBuilder()
                    .setDuty(WireNames.toWire(r.duty()))
                    .setToken(r.token())
                    .setRenewals(r.renewals()));
        } else if (c instanceof Command.HandOn h) {
            b.setHandOn(DutyWire.HandOn.newBuilder()
                    .setDuty(WireNames.toWire(h.duty()))
                    .setToken(h.token())
                    .setTo(h.to()));
        } else if (c instanceof Command.Prefer p) {
            b.setPrefer(DutyWire.Prefer.newBuilder()
                    .setDuty(WireNames.toWire(p.duty()))
                    .setToken(p.token())
                    .setTo(p.to()));
        } else if (c instanceof Command.Absent a) {
            b.setAbsent(DutyWire.Absent.newBuilder().setMember(a.member()).setAbsent(a.absent()));
        } else if (c instanceof Command.Out o) {
            b.setOut(DutyWire.Out.newBuilder()
                    .setTarget(o.target())
                    .setAtMs(o.atMs())
                    .setAfter(o.after()));
        } else if (c instanceof Command.Back o) {
            b.setBack(DutyWire.Back.newBuilder()
                    .setTarget(o.target())
                    .setAtMs(o.atMs())
                    .setAfter(o.after()));
        } else if (c instanceof Command.Ask a) {
            b.setAsk(DutyWire.Ask.newBuilder()
                    .setTarget(a.target())
                    .setZone(a.zone())
                    .setAtMs(a.atMs())
                    .setAfter(a.after()));
        } else if (c instanceof Command.Let l) {
            b.setLet(DutyWire.Let.newBuilder()
                    .setTarget(l.target())
                    .setTicket(l.ticket())
                    .setToken(l.token())
                    .setAtMs(l.atMs()));
        } else if (c instanceof Command.Withdraw w) {
            b.setWithdraw(DutyWire.Withdraw.newBuilder()
                    .setTarget(w.target())
                    .setTicket(w.ticket())
                    .setToken(w.token())
                    .setAtMs(w.atMs()));
        } else if (c instanceof Command.Borrow o) {
            b.setBorrow(DutyWire.Borrow.newBuilder().setThousandths(o.thousandths()));
        } else if (c instanceof Command.Lend l) {
            b.setLend(DutyWire.Lend.newBuilder()
                    .setTo(l.to())
                    .setAsk(l.ask())
                    .setThousandths(l.thousandths())
                    .setToken(l.token())
                    .setPool(l.pool()));
        } else if (c instanceof Command.Settle t) {
            b.setSettle(DutyWire.Settle.newBuilder().setLoan(t.loan()).setToken(t.token()));
        } else if (c instanceof Command.Standing t) {
            b.setStanding(DutyWire.Standing.newBuilder().setWilling(t.willing()));
        } else if (c instanceof Command.Sighted t) {
            b.setSighted(SiteCodec.encode(t));
        } else if (c instanceof Command.Declare d) {
            b.setDeclare(SiteCodec.encode(d));
        } else if (c instanceof Command.Planned p) {
            b.setPlanned(DutyWire.Planned.newBuilder()
                    .setPlan(SiteCodec.encode(p.plan()))
                    .setToken(p.token()));
        } else if (c instanceof Command.HoldSite h) {
            b.setHoldSite(DutyWire.HoldSite.newBuilder()
                    .setSite(h.site())
                    .setOn(h.on())
                    .setAfter(h.after()));
        } else if (c instanceof Command.Drill d) {
            b.setDrill(DutyWire.Drill.newBuilder().setSite(d.site()).setAfter(d.after()));
        }
        return b.build().toByteArray();
    }

    /** Throws on what no command is. */
    public static Command.Signed decode(byte[] bytes) throws InvalidProtocolBufferException {
        DutyWire.Command c = DutyWire.Command.parseFrom(bytes);
        Command what = switch (c.getWhatCase()) {
            case ASSIGN ->
                new Command.Assign(
                        WireNames.fromWire(c.getAssign().getDuty()),
                        c.getAssign().getTo(),
                        c.getAssign().getToken(),
                        c.getAssign().getRenewals());
            case RENEW ->
                new Command.Renew(
                        WireNames.fromWire(c.getRenew().getDuty()),
                        c.getRenew().getToken(),
                        c.getRenew().getRenewals());
            case HAND_ON ->
                new Command.HandOn(
                        WireNames.fromWire(c.getHandOn().getDuty()),
                        c.getHandOn().getToken(),
                        c.getHandOn().getTo());
            case PREFER ->
                new Command.Prefer(
                        WireNames.fromWire(c.getPrefer().getDuty()),
                        c.getPrefer().getToken(),
                        c.getPrefer().getTo());
            case ABSENT ->
                new Command.Absent(c.getAbsent().getMember(), c.getAbsent().getAbsent());
            case OUT ->
                new Command.Out(
                        c.getOut().getTarget(), c.getOut().getAtMs(), c.getOut().getAfter());
            case BACK ->
                new Command.Back(
                        c.getBack().getTarget(),
                        c.getBack().getAtMs(),
                        c.getBack().getAfter());
            case ASK ->
                new Command.Ask(
                        c.getAsk().getTarget(),
                        c.getAsk().getZone(),
                        c.getAsk().getAtMs(),
                        c.getAsk().getAfter());
            case LET ->
                new Command.Let(
                        c.getLet().getTarget(),
                        c.getLet().getTicket(),
                        c.getLet().getToken(),
                        c.getLet().getAtMs());
            case WITHDRAW ->
                new Command.Withdraw(
                        c.getWithdraw().getTarget(),
                        c.getWithdraw().getTicket(),
                        c.getWithdraw().getToken(),
                        c.getWithdraw().getAtMs());
            case BORROW -> new Command.Borrow(c.getBorrow().getThousandths());
            case LEND ->
                new Command.Lend(
                        c.getLend().getTo(),
                        c.getLend().getAsk(),
                        c.getLend().getThousandths(),
                        c.getLend().getToken(),
                        c.getLend().getPool());
            case SETTLE ->
                new Command.Settle(c.getSettle().getLoan(), c.getSettle().getToken());
            case STANDING -> new Command.Standing(c.getStanding().getWilling());
            case SIGHTED -> SiteCodec.decode(c.getSighted());
            case DECLARE -> SiteCodec.decode(c.getDeclare());
            case PLANNED ->
                new Command.Planned(
                        SiteCodec.decode(c.getPlanned().getPlan()),
                        c.getPlanned().getToken());
            case HOLD_SITE ->
                new Command.HoldSite(
                        c.getHoldSite().getSite(),
                        c.getHoldSite().getOn(),
                        c.getHoldSite().getAfter());
            case DRILL -> new Command.Drill(c.getDrill().getSite(), c.getDrill().getAfter());
            case WHAT_NOT_SET -> throw new InvalidProtocolBufferException("a command of a later version");
        };
        return new Command.Signed(c.getBy(), c.getId(), what);
    }
}
