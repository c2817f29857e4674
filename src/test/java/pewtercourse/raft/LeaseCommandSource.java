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

    byte[] next(String by, LeaseWire.State state, List<String> members) {
        LeaseWire.Command.Builder command =
                LeaseWire.Command.newBuilder().setBy(by).setId(++lastId);
        switch (random.nextInt(KINDS)) {
            case 0, 1, 2, 3 -> lease(command, lease(state, pick(LEASES)), pick(members));
            case 4 -> command.setOut(LeaseWire.Out.newBuilder().setAtMs(lastId).setTarget(target()));
            case 5 -> returnCache(command, state);
            case 6, 7 -> requestMaintenance(command, state);
            case 8 -> grantMaintenance(command, state);
            case 9 -> cancelMaintenance(command, state);
            case 10, 11 -> command.setBorrow(LeaseWire.Borrow.newBuilder().setThousandths(random.nextInt(400)));
            case 12 -> grantQuota(command, state);
            case 13 -> settleQuota(command, state);
            case 14 -> command.setStanding(LeaseWire.Standing.newBuilder().setWilling(random.nextInt(4) > 0));
            default ->
                command.setAbsent(
                        LeaseWire.Absent.newBuilder().setMember(pick(members)).setAbsent(random.nextInt(3) == 0));
        }
        return command.build().toByteArray();
    }

    private void lease(LeaseWire.Command.Builder command, LeaseWire.Duty lease, String to) {
        String name = lease.getName();
        long token = lease.getToken() + (stale() ? 1 : 0);
        if (lease.getHolder().isEmpty() || random.nextInt(6) == 0) {
            command.setAssign(LeaseWire.Assign.newBuilder()
                    .setDuty(name)
                    .setTo(to)
                    .setToken(token)
                    .setRenewals(lease.getRenewals()));
            return;
        }
        command.setBy(lease.getHolder());
        switch (random.nextInt(4)) {
            case 0 ->
                command.setHandOn(LeaseWire.HandOn.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setTo(random.nextBoolean() ? to : ""));
            case 1 ->
                command.setPrefer(LeaseWire.Prefer.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setTo(to));
            default ->
                command.setRenew(LeaseWire.Renew.newBuilder()
                        .setDuty(name)
                        .setToken(token)
                        .setRenewals(lease.getRenewals()));
        }
    }

    private void returnCache(LeaseWire.Command.Builder command, LeaseWire.State state) {
        String target = state.getOutCount() == 0
                ? target()
                : state.getOut(random.nextInt(state.getOutCount())).getName();
        command.setBack(LeaseWire.Back.newBuilder()
                .setTarget(target)
                .setAtMs(lastId)
                .setAfter(stale() ? 1 : lastEntry(state, target)));
    }

    private void requestMaintenance(LeaseWire.Command.Builder command, LeaseWire.State state) {
        String target = target();
        command.setAsk(LeaseWire.Ask.newBuilder()
                .setTarget(target)
                .setZone("z" + random.nextInt(2))
                .setAtMs(lastId)
                .setAfter(stale() ? 1 : lastEntry(state, target)));
    }

    private void grantMaintenance(LeaseWire.Command.Builder command, LeaseWire.State state) {
        LeaseWire.Ticket ticket = ticket(state);
        command.setLet(LeaseWire.Let.newBuilder()
                .setTarget(ticket.getTarget())
                .setTicket(ticket.getNumber())
                .setToken(lease(state, "warden").getToken() + (stale() ? 1 : 0))
                .setAtMs(lastId));
    }

    private void cancelMaintenance(LeaseWire.Command.Builder command, LeaseWire.State state) {
        LeaseWire.Ticket ticket = ticket(state);
        command.setWithdraw(LeaseWire.Withdraw.newBuilder()
                .setTarget(ticket.getTarget())
                .setTicket(ticket.getNumber())
                .setToken(random.nextBoolean() ? 0 : lease(state, "warden").getToken())
                .setAtMs(lastId));
    }

    private void grantQuota(LeaseWire.Command.Builder command, LeaseWire.State state) {
        LeaseWire.Wish request = state.getWishCount() == 0
                ? LeaseWire.Wish.newBuilder().setBy("m0").build()
                : state.getWish(random.nextInt(state.getWishCount()));
        command.setLend(LeaseWire.Lend.newBuilder()
                .setTo(request.getBy())
                .setAsk(request.getAsk())
                .setThousandths(request.getThousandths())
                .setToken(lease(state, "divider").getToken())
                .setPool(1_500));
    }

    private void settleQuota(LeaseWire.Command.Builder command, LeaseWire.State state) {
        long grant = state.getLoanCount() == 0
                ? lastId
                : state.getLoan(random.nextInt(state.getLoanCount())).getNumber();
        command.setSettle(LeaseWire.Settle.newBuilder()
                .setLoan(grant)
                .setToken(lease(state, "divider").getToken()));
    }

    private LeaseWire.Ticket ticket(LeaseWire.State state) {
        return state.getTicketCount() == 0
                ? LeaseWire.Ticket.newBuilder()
                        .setTarget(target())
                        .setNumber(lastId)
                        .build()
                : state.getTicket(random.nextInt(state.getTicketCount()));
    }

    private static LeaseWire.Duty lease(LeaseWire.State state, String name) {
        return state.getDutyList().stream()
                .filter(lease -> lease.getName().equals(name))
                .findFirst()
                .orElse(LeaseWire.Duty.newBuilder().setName(name).build());
    }

    private static long lastEntry(LeaseWire.State state, String target) {
        return state.getWordList().stream()
                .filter(change -> change.getTarget().equals(target))
                .mapToLong(LeaseWire.Word::getEntry)
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
