package pewtercourse.raft;

import java.util.List;
import java.util.Random;
import pewtercourse.duty.wire.DutyWire;

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

    byte[] next(String by, DutyWire.State state, List<String> members) {
        DutyWire.Command.Builder command =
                DutyWire.Command.newBuilder().setBy(by).setId(++lastId);
        switch (random.nextInt(KINDS)) {
            case 0, 1, 2, 3 -> lease(command, lease(state, pick(LEASES)), pick(members));
            case 4 -> command.setOut(DutyWire.Out.newBuilder().setAtMs(lastId).setTarget(target()));
            case 5 -> returnCache(command, state);
            case 6, 7 -> requestMaintenance(command, state);
            case 8 -> grantMaintenance(command, state);
            case 9 -> cancelMaintenance(command, state);
            case 10, 11 -> command.setBorrow(DutyWire.Borrow.newBuilder().setThousandths(random.nextInt(400)));
            case 12 -> grantQuota(command, state);
            case 13 -> settleQuota(command, state);
            case 14 -> command.setStanding(DutyWire.Standing.newBuilder().setWilling(random.nextInt(4) > 0));
            default ->
                command.setAbsent(
                        DutyWire.Absent.newBuilder().setMember(pick(members)).setAbsent(random.nextInt(3) == 0));
        }
        return command.build().toByteArray();
    }

    private void lease(DutyWire.Command.Builder command, DutyWire.Duty lease, String to) {
        String name = lease.getName();
        long token = lease.getToken() + (stale() ? 1 : 0);
        if (lease.getHolder().isEmpty() || random.nextInt(6) == 0) {
            command.setAssign(DutyWire.Assign.newBuilder()
                    .setDuty(name)
                    .setTo(to)
                    .setToken(token)
                    .setRenewals(lease.getRenewals()));
            return;
        }
        command.setBy(lease.getHolder());
        switch (random.nextInt(4)) {
            case 0 ->
                command.setHandOn(DutyWire.HandOn.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setTo(random.nextBoolean() ? to : ""));
            case 1 ->
                command.setPrefer(DutyWire.Prefer.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setTo(to));
            default ->
                command.setRenew(DutyWire.Renew.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setRenewals(lease.getRenewals()));
        }
    }

    private void returnCache(DutyWire.Command.Builder command, DutyWire.State state) {
        String target = state.getOutCount() == 0
                ? target()
                : state.getOut(random.nextInt(state.getOutCount())).getName();
        command.setBack(DutyWire.Back.newBuilder()
                .setTarget(target)
                .setAtMs(lastId)
                .setAfter(stale() ? 1 : lastEntry(state, target)));
    }

    private void requestMaintenance(DutyWire.Command.Builder command, DutyWire.State state) {
        String target = target();
        command.setAsk(DutyWire.Ask.newBuilder()
                .setTarget(target)
                .setZone("z" + random.nextInt(2))
                .setAtMs(lastId)
                .setAfter(stale() ? 1 : lastEntry(state, target)));
    }

    private void grantMaintenance(DutyWire.Command.Builder command, DutyWire.State state) {
        DutyWire.Ticket ticket = ticket(state);
        command.setLet(DutyWire.Let.newBuilder()
                .setTarget(ticket.getTarget())
                .setTicket(ticket.getNumber())
                .setToken(lease(state, "warden").getToken() + (stale() ? 1 : 0))
                .setAtMs(lastId));
    }

    private void cancelMaintenance(DutyWire.Command.Builder command, DutyWire.State state) {
        DutyWire.Ticket ticket = ticket(state);
        command.setWithdraw(DutyWire.Withdraw.newBuilder()
                .setTarget(ticket.getTarget())
                .setTicket(ticket.getNumber())
                .setToken(random.nextBoolean() ? 0 : lease(state, "warden").getToken())
                .setAtMs(lastId));
    }

    private void grantQuota(DutyWire.Command.Builder command, DutyWire.State state) {
        DutyWire.Wish request = state.getWishCount() == 0
                ? DutyWire.Wish.newBuilder().setBy("m0").build()
                : state.getWish(random.nextInt(state.getWishCount()));
        command.setLend(DutyWire.Lend.newBuilder()
                .setTo(request.getBy())
                .setAsk(request.getAsk())
                .setThousandths(request.getThousandths())
                .setToken(lease(state, "divider").getToken())
                .setPool(1_500));
    }

    private void settleQuota(DutyWire.Command.Builder command, DutyWire.State state) {
        long grant = state.getLoanCount() == 0
                ? lastId
                : state.getLoan(random.nextInt(state.getLoanCount())).getNumber();
        command.setSettle(DutyWire.Settle.newBuilder()
                .setLoan(grant)
                .setToken(lease(state, "divider").getToken()));
    }

    private DutyWire.Ticket ticket(DutyWire.State state) {
        return state.getTicketCount() == 0
                ? DutyWire.Ticket.newBuilder().setTarget(target()).setNumber(lastId).build()
                : state.getTicket(random.nextInt(state.getTicketCount()));
    }

    private static DutyWire.Duty lease(DutyWire.State state, String name) {
        return state.getDutyList().stream()
                .filter(lease -> lease.getName().equals(name))
                .findFirst()
                .orElse(DutyWire.Duty.newBuilder().setName(name).build());
    }

    private static long lastEntry(DutyWire.State state, String target) {
        return state.getWordList().stream()
                .filter(change -> change.getTarget().equals(target))
                .mapToLong(DutyWire.Word::getEntry)
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
