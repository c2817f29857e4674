package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.failover.AttemptCounts;
import pewtercourse.failover.EndpointCount;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;

/** Draws commands, mostly valid ones, and applies them to one state. */
final class CommandStream {
    private static final int KINDS = 19;
    private static final List<String> MEMBERS = List.of("d1", "d2", "d3", "d4");
    private static final List<String> SITES = List.of("east", "north", "west");
    private static final List<String> LEASES =
            List.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA, LeaseNames.SITES, "other");

    private final TraceHash trace = new TraceHash();
    private final ClusterState state = new ClusterState();
    private final Random random;
    private final Set<Integer> kinds;
    private final Set<String> rejections;
    private long index;
    private long id = 100;

    CommandStream(long seed, Set<Integer> kinds, Set<String> rejections) {
        this.random = new Random(seed);
        this.kinds = kinds;
        this.rejections = rejections;
    }

    void randomCommands(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            apply(MEMBERS.get(random.nextInt(MEMBERS.size())), draw(random.nextInt(KINDS)));
            snapshot();
        }
    }

    private void apply(String proposer, Command command) throws Exception {
        Command.Envelope envelope = new Command.Envelope(proposer, id++, command);
        byte[] bytes = CommandCodec.encode(envelope);
        assertEquals(envelope, CommandCodec.decode(bytes));
        kinds.add(TraceHash.kind(bytes));
        trace.bytes(bytes);
        index += 1 + random.nextInt(3);
        String outcome = TraceHash.outcomeText(state.apply(index, envelope));
        trace.text(outcome);
        if (!outcome.equals("done")) {
            rejections.add(outcome);
        }
    }

    private void snapshot() throws Exception {
        byte[] bytes = state.encode();
        trace.bytes(bytes);
        trace.number(state.drainRevision());
        trace.number(state.grantedQuotaThousandths());
        trace.bytes(ClusterState.decode(bytes).encode());
    }

    private Command draw(int kind) {
        String target = "c" + random.nextInt(6);
        String lease = LEASES.get(random.nextInt(LEASES.size()));
        String member = MEMBERS.get(random.nextInt(MEMBERS.size()));
        long atMs = 1_000L + random.nextInt(1_000);
        long amount = random.nextInt(400) - 20;
        long renewals = mostly(state.lease(lease).renewals());
        return switch (kind) {
            case 0 -> new Command.AssignLease(lease, member, token(lease), renewals);
            case 1 -> new Command.RenewLease(lease, token(lease), renewals);
            case 2 -> new Command.ReleaseLease(lease, token(lease), random.nextBoolean() ? member : "");
            case 3 -> new Command.DrainCache(target, atMs, mostly(state.lastOperatorCommand(target)));
            case 4 -> new Command.ReinstateCache(target, atMs, mostly(state.lastOperatorCommand(target)));
            case 5 ->
                new Command.RequestMaintenance(
                        target, "z" + random.nextInt(3), atMs, mostly(state.lastOperatorCommand(target)));
            case 6 -> maintenance(target, true, atMs);
            case 7 -> maintenance(target, false, atMs);
            case 8 -> new Command.RequestQuota(amount);
            case 9 -> grantQuota(member, amount);
            case 10 -> new Command.ReleaseQuota(some(state.quotaGrants()), token(LeaseNames.QUOTA));
            case 11 -> new Command.SetEligibility(random.nextInt(3) > 0);
            case 12 -> new Command.RequestTransfer(lease, token(lease), random.nextBoolean() ? member : "");
            case 13 -> new Command.ReportAbsence(member, random.nextInt(3) == 0);
            case 14 -> new Command.ReportSiteObservation(Map.of(site(), observation()));
            case 15 -> new Command.ChangeSiteStatus(statusChange(), token(LeaseNames.SITES));
            case 16 -> new Command.PublishFailoverPlan(plan(), token(LeaseNames.SITES));
            case 17 -> pauseSiteRecovery();
            default -> startDrill();
        };
    }

    private Command maintenance(String drawn, boolean grant, long atMs) {
        long number = some(state.maintenanceRequests());
        boolean known = state.maintenanceRequests().containsKey(number) && random.nextInt(5) > 0;
        String target = known ? state.maintenanceRequests().get(number).target() : drawn;
        long token = random.nextInt(4) == 0 ? 0 : token(LeaseNames.MAINTENANCE);
        return grant
                ? new Command.GrantMaintenance(target, number, token, atMs)
                : new Command.CancelMaintenance(target, number, token, atMs);
    }

    private Command grantQuota(String member, long amount) {
        long requestEntry = state.quotaRequests().containsKey(member)
                ? mostly(state.quotaRequests().get(member).entry())
                : random.nextInt(50);
        return new Command.GrantQuota(member, requestEntry, amount, token(LeaseNames.QUOTA), 1_000);
    }

    private SiteStatusChange statusChange() {
        String site = site();
        return new SiteStatusChange(
                site,
                SiteStatus.Phase.values()[random.nextInt(SiteStatus.Phase.values().length)],
                SiteHealth.values()[random.nextInt(SiteHealth.values().length)],
                random.nextInt(4),
                random.nextInt(5),
                entry(site));
    }

    private Command pauseSiteRecovery() {
        String site = site();
        return new Command.PauseSiteRecovery(site, random.nextBoolean(), entry(site));
    }

    private Command startDrill() {
        String site = site();
        return new Command.StartFailoverDrill(site, entry(site));
    }

    private long entry(String site) {
        return mostly(state.failover().status(site).lastChangeIndex());
    }

    private FailoverPlan plan() {
        SortedMap<String, SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            SortedMap<String, FailoverPlan.Distribution> shares = new TreeMap<>();
            List<FailoverPlan.Allocation> parts = List.of(
                    new FailoverPlan.Allocation(site(), random.nextDouble(), 1 + random.nextDouble()),
                    new FailoverPlan.Allocation(site(), random.nextDouble(), 2 * random.nextDouble()));
            shares.put(site(), new FailoverPlan.Distribution(parts, random.nextDouble()));
            cases.put(site(), shares);
        }
        return new FailoverPlan(cases);
    }

    private String site() {
        return SITES.get(random.nextInt(SITES.size()));
    }

    private long token(String lease) {
        return mostly(state.lease(lease).token());
    }

    private long mostly(long right) {
        return random.nextInt(5) == 0 ? Math.max(0, right + random.nextInt(5) - 2) : right;
    }

    private long some(Map<Long, ?> numbered) {
        List<Long> numbers = List.copyOf(new TreeSet<>(numbered.keySet()));
        return numbers.isEmpty() || random.nextInt(6) == 0
                ? random.nextInt((int) index + 1)
                : numbers.get(random.nextInt(numbers.size()));
    }

    /** Exceeds each bound of the state, and hashes a snapshot only now and then: each is large. */
    void exceedBounds() throws Exception {
        apply("d1", new Command.AssignLease(LeaseNames.QUOTA, "d1", 0, 0));
        apply("d1", new Command.AssignLease(LeaseNames.MAINTENANCE, "d1", 0, 0));
        exceedDrainsAndMaintenanceRequests();
        exceedReinstatedCaches();
        exceedOperatorCommands();
        exceedMembersAndQuotaRequests();
        exceedQuotaGrants();
        exceedSites();
    }

    private void exceedDrainsAndMaintenanceRequests() throws Exception {
        for (int i = 0; i < 1_030; i++) {
            apply("d1", new Command.DrainCache("out" + i, i, 0));
        }
        snapshot();
        for (int i = 0; i < 1_030; i++) {
            apply("d1", new Command.RequestMaintenance("asked" + i, "z", i, 0));
        }
        snapshot();
        long request = state.maintenanceRequests().firstKey();
        String target = state.maintenanceRequests().get(request).target();
        long token = state.lease(LeaseNames.MAINTENANCE).token();
        apply("d1", new Command.GrantMaintenance(target, request, token, 1));
    }

    private void exceedReinstatedCaches() throws Exception {
        for (int i = 0; i < 1_030; i++) {
            apply("d2", new Command.ReinstateCache("out" + i, 5_000 - i % 7, state.lastOperatorCommand("out" + i)));
            apply("d2", new Command.DrainCache("more" + i, i, 0));
        }
        snapshot();
        for (int i = 0; i < 1_030; i++) {
            apply("d2", new Command.ReinstateCache("more" + i, i % 11, state.lastOperatorCommand("more" + i)));
        }
        snapshot();
    }

    private void exceedOperatorCommands() throws Exception {
        for (int i = 0; i < 4_100; i++) {
            apply("d3", new Command.ReinstateCache("word" + i, i, 0));
        }
        snapshot();
    }

    private void exceedMembersAndQuotaRequests() throws Exception {
        for (int i = 0; i < 70; i++) {
            apply("member" + i, new Command.RequestQuota(1 + i));
            apply("member" + i, new Command.SetEligibility(false));
            apply("d1", new Command.ReportAbsence("member" + i, true));
        }
        snapshot();
    }

    private void exceedQuotaGrants() throws Exception {
        long token = state.lease(LeaseNames.QUOTA).token();
        for (int i = 0; i < 270; i++) {
            apply("member1", new Command.RequestQuota(2));
            long requestEntry = state.quotaRequests().get("member1").entry();
            apply("d1", new Command.GrantQuota("member1", requestEntry, 1, token, 1_000_000));
        }
        snapshot();
    }

    private void exceedSites() throws Exception {
        for (int i = 0; i < 260; i++) {
            apply("d1", new Command.PauseSiteRecovery("site" + i, true, 0));
        }
        snapshot();
    }

    private SiteObservation observation() {
        return new SiteObservation(
                new EndpointCount(random.nextInt(9), random.nextInt(9)),
                new EndpointCount(random.nextInt(4), random.nextInt(4)),
                new AttemptCounts(random.nextInt(40), random.nextInt(40), random.nextInt(40), random.nextInt(40)),
                random.nextDouble());
    }

    String hash() {
        return trace.hash();
    }
}
