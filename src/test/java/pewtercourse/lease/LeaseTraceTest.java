package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.Site;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.Sites;
import pewtercourse.lease.wire.LeaseWire;

/**
 * Replays random but fixed command streams and a small cluster on a virtual clock, and compares the SHA-256 of all
 * outputs with the ones recorded before the package was restructured. Outputs are hashed by position, without type or
 * field names.
 */
class LeaseTraceTest {
    private static final String GOLDEN = "/traces/lease-trace.txt";
    private static final int FIRST_KIND = 3;
    private static final int LAST_KIND = 21;

    private static final List<String> MEMBERS = List.of("d1", "d2", "d3", "d4");
    private static final List<String> SITES = List.of("east", "north", "west");
    private static final List<String> LEASES =
            List.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA, LeaseNames.SITES, "other");

    private static final Set<String> ALL_REJECTIONS = Set.of(
            "an older token",
            "settled before",
            "another change of this site came first",
            "known",
            "renewed or assigned meanwhile",
            "renewed before",
            "1024 are out",
            "1024 calls wait or are out",
            "withdrawn meanwhile",
            "withdrawn before",
            "an older token, or another's ticket",
            "too many wishes",
            "not wished for any more",
            "over what may be lent",
            "late: another word on this was agreed first: call again");

    @Test
    void commandStreamsGiveTheRecordedResultsAndSnapshots() throws Exception {
        Set<Integer> kinds = new TreeSet<>();
        Set<String> rejections = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            CommandStream stream = new CommandStream(seed, kinds, rejections);
            stream.randomCommands(2_500);
            lines.add("commands " + seed + " " + stream.trace.hash());
        }
        CommandStream stream = new CommandStream(6, kinds, rejections);
        stream.exceedBounds();
        lines.add("bounds 6 " + stream.trace.hash());

        assertEquals(allKinds(), kinds);
        assertEquals(new TreeSet<>(ALL_REJECTIONS), rejections);
        assertEquals(golden("commands", "bounds"), lines);
    }

    @Test
    void aClusterOnAVirtualClockGivesTheRecordedCommandsAndLeases() throws Exception {
        Set<Integer> kinds = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        for (long seed = 1; seed <= 4; seed++) {
            VirtualCluster cluster = new VirtualCluster(seed, 2 + (int) (seed % 3), kinds);
            cluster.run(5_000);
            lines.add("cluster " + seed + " " + cluster.trace.hash());
        }

        Set<Integer> ownKinds = allKinds();
        // Drain, reinstate, request of maintenance and the two orders on sites come from operators alone.
        ownKinds.removeAll(Set.of(6, 7, 8, 20, 21));
        assertEquals(ownKinds, kinds);
        assertEquals(golden("cluster"), lines);
    }

    private static Set<Integer> allKinds() {
        Set<Integer> kinds = new TreeSet<>();
        for (int kind = FIRST_KIND; kind <= LAST_KIND; kind++) {
            kinds.add(kind);
        }
        return kinds;
    }

    private static List<String> golden(String... tags) throws IOException {
        try (InputStream in = LeaseTraceTest.class.getResourceAsStream(GOLDEN)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> List.of(tags).contains(line.substring(0, line.indexOf(' '))))
                    .toList();
        }
    }

    /** "done", or the text of the rejection; one that only came too late is marked. */
    private static String outcome(CommandOutcome result) {
        return result.rejectionText()
                .map(text -> (result.isSuperseded() ? "late: " : "") + text)
                .orElse("done");
    }

    /** The number of the command's field in the stored form, which no renaming changes. */
    private static int kind(byte[] command) throws IOException {
        return LeaseWire.Command.parseFrom(command).getKindCase().getNumber();
    }

    /** Hashes values by position. */
    private static final class Trace {
        private final MessageDigest digest;

        Trace() {
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }

        void number(long value) {
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        }

        void bytes(byte[] value) {
            number(value.length);
            digest.update(value);
        }

        void text(String value) {
            bytes(value.getBytes(StandardCharsets.UTF_8));
        }

        String hash() {
            return HexFormat.of().formatHex(digest.digest());
        }
    }

    /** Draws commands, mostly valid ones, and applies them to one state. */
    private static final class CommandStream {
        private final Trace trace = new Trace();
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
                apply(MEMBERS.get(random.nextInt(MEMBERS.size())), draw(random.nextInt(LAST_KIND - FIRST_KIND + 1)));
                snapshot();
            }
        }

        private void apply(String by, Command command) throws Exception {
            Command.Envelope signed = new Command.Envelope(by, id++, command);
            byte[] bytes = CommandCodec.encode(signed);
            assertEquals(signed, CommandCodec.decode(bytes));
            kinds.add(kind(bytes));
            trace.bytes(bytes);
            index += 1 + random.nextInt(3);
            String outcome = outcome(state.apply(index, signed));
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
                case 9 -> lend(member, amount);
                case 10 -> new Command.ReleaseQuota(some(state.quotaGrants()), token(LeaseNames.QUOTA));
                case 11 -> new Command.SetEligibility(random.nextInt(3) > 0);
                case 12 -> new Command.RequestTransfer(lease, token(lease), random.nextBoolean() ? member : "");
                case 13 -> new Command.ReportAbsence(member, random.nextInt(3) == 0);
                case 14 -> new Command.ReportSiteObservation(Map.of(site(), observation(random)));
                case 15 -> new Command.ChangeSiteStatus(declaration(), token(LeaseNames.SITES));
                case 16 -> new Command.PublishFailoverPlan(plan(), token(LeaseNames.SITES));
                case 17 -> holdSite();
                default -> drill();
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

        private Command lend(String member, long amount) {
            long ask = state.quotaRequests().containsKey(member)
                    ? mostly(state.quotaRequests().get(member).entry())
                    : random.nextInt(50);
            return new Command.GrantQuota(member, ask, amount, token(LeaseNames.QUOTA), 1_000);
        }

        private FailoverController.Declaration declaration() {
            String site = site();
            return new FailoverController.Declaration(
                    site,
                    SiteStatus.Phase.values()[random.nextInt(SiteStatus.Phase.values().length)],
                    SiteHealth.values()[random.nextInt(SiteHealth.values().length)],
                    random.nextInt(4),
                    random.nextInt(5),
                    entry(site));
        }

        private Command holdSite() {
            String site = site();
            return new Command.PauseSiteRecovery(site, random.nextBoolean(), entry(site));
        }

        private Command drill() {
            String site = site();
            return new Command.StartFailoverDrill(site, entry(site));
        }

        private long entry(String site) {
            return mostly(state.failover().status(site).entry());
        }

        private FailoverPlan plan() {
            SortedMap<String, SortedMap<String, FailoverPlan.Shares>> cases = new TreeMap<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                SortedMap<String, FailoverPlan.Shares> shares = new TreeMap<>();
                List<FailoverPlan.Part> parts = List.of(
                        new FailoverPlan.Part(site(), random.nextDouble(), 1 + random.nextDouble()),
                        new FailoverPlan.Part(site(), random.nextDouble(), 2 * random.nextDouble()));
                shares.put(site(), new FailoverPlan.Shares(parts, random.nextDouble()));
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

        /** Exceeds each bound of the state, and hashes a snapshot now and then: each is large. */
        void exceedBounds() throws Exception {
            apply("d1", new Command.AssignLease(LeaseNames.QUOTA, "d1", 0, 0));
            apply("d1", new Command.AssignLease(LeaseNames.MAINTENANCE, "d1", 0, 0));
            for (int i = 0; i < 1_030; i++) {
                apply("d1", new Command.DrainCache("out" + i, i, 0));
            }
            snapshot();
            for (int i = 0; i < 1_030; i++) {
                apply("d1", new Command.RequestMaintenance("asked" + i, "z", i, 0));
            }
            snapshot();
            Map.Entry<Long, ?> first =
                    state.maintenanceRequests().entrySet().iterator().next();
            long ticket = first.getKey();
            long token = state.lease(LeaseNames.MAINTENANCE).token();
            apply(
                    "d1",
                    new Command.GrantMaintenance(
                            state.maintenanceRequests().get(ticket).target(), ticket, token, 1));
            for (int i = 0; i < 1_030; i++) {
                apply("d2", new Command.ReinstateCache("out" + i, 5_000 - i % 7, state.lastOperatorCommand("out" + i)));
                apply("d2", new Command.DrainCache("more" + i, i, 0));
            }
            snapshot();
            for (int i = 0; i < 1_030; i++) {
                apply("d2", new Command.ReinstateCache("more" + i, i % 11, state.lastOperatorCommand("more" + i)));
            }
            snapshot();
            // More caches than words are kept of.
            for (int i = 0; i < 4_100; i++) {
                apply("d3", new Command.ReinstateCache("word" + i, i, 0));
            }
            snapshot();
            for (int i = 0; i < 70; i++) {
                apply("member" + i, new Command.RequestQuota(1 + i));
                apply("member" + i, new Command.SetEligibility(false));
                apply("d1", new Command.ReportAbsence("member" + i, true));
            }
            snapshot();
            long quota = state.lease(LeaseNames.QUOTA).token();
            for (int i = 0; i < 270; i++) {
                apply("member1", new Command.RequestQuota(2));
                long ask = state.quotaRequests().get("member1").entry();
                apply("d1", new Command.GrantQuota("member1", ask, 1, quota, 1_000_000));
            }
            snapshot();
            for (int i = 0; i < 260; i++) {
                apply("d1", new Command.PauseSiteRecovery("site" + i, true, 0));
            }
            snapshot();
        }
    }

    private static SiteObservation observation(Random random) {
        return new SiteObservation(
                random.nextInt(9),
                random.nextInt(9),
                random.nextInt(4),
                random.nextInt(4),
                random.nextInt(40),
                random.nextInt(40),
                random.nextInt(40),
                random.nextInt(40),
                random.nextDouble());
    }

    /** A few members that share one agreed sequence of commands, on clocks that differ, with delays and losses. */
    private static final class VirtualCluster {
        private static final long TICK = 10_000;
        private static final ClusterConfiguration SETTINGS = new ClusterConfiguration();

        private record Sent(long at, long number, byte[] command) {}

        private final class Node {
            final String name;
            final double rate;
            final long offset;
            LeaseManager duties;
            int applied;
            long stoppedUntil;
            long unwillingUntil;
            long wanted;

            Node(String name, int place) {
                this.name = name;
                this.rate = 1 + 0.004 * place;
                this.offset = 1_000_000L * place;
                start();
            }

            void start() {
                duties = new LeaseManager(
                        SETTINGS.settings,
                        name,
                        random.nextInt(1 << 20),
                        cache -> cache.endsWith("0") ? "" : "z" + cache.charAt(1),
                        zone -> zone.isEmpty() ? 1 : 8);
                duties.configureSites(clock(), SETTINGS.sites);
            }

            long clock() {
                return offset + (long) (now * rate);
            }

            boolean stopped() {
                return now < stoppedUntil;
            }
        }

        private final Trace trace = new Trace();
        private final Random random;
        private final Set<Integer> kinds;
        private final List<Node> nodes = new ArrayList<>();
        private final List<byte[]> log = new ArrayList<>();
        private final PriorityQueue<Sent> sent = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
        private final boolean countsFromAnswer;
        private long now;
        private long numbers;
        private int leader;
        private String lostSite = "";
        private boolean removed;

        VirtualCluster(long seed, int size, Set<Integer> kinds) {
            this.random = new Random(seed);
            this.kinds = kinds;
            this.countsFromAnswer = seed == 4;
            for (int i = 0; i < size; i++) {
                nodes.add(new Node("d" + (i + 1), i));
            }
        }

        void run(int ticks) throws Exception {
            for (int i = 0; i < ticks; i++) {
                now += TICK;
                disturb(i, ticks);
                operate();
                while (!sent.isEmpty() && sent.peek().at() <= now) {
                    log.add(sent.poll().command());
                }
                for (Node node : nodes) {
                    if (!node.stopped()) {
                        applyAgreed(node);
                        tick(node, i);
                    }
                }
                nodes.forEach(this::record);
            }
        }

        private void disturb(int i, int ticks) throws Exception {
            Node any = nodes.get(random.nextInt(nodes.size()));
            boolean calm = i / 1_600 % 2 == 0; // Leases move back to their members only after a long calm.
            if (!calm && random.nextInt(300) == 0) {
                any.stoppedUntil = now + 500_000L + random.nextInt(4_000_000);
            }
            if (!calm && random.nextInt(300) == 0) {
                any.unwillingUntil = now + 500_000L + random.nextInt(2_000_000);
                any.duties.setEligible(false);
            }
            for (Node node : nodes) {
                if (node.unwillingUntil > 0 && now >= node.unwillingUntil) {
                    node.unwillingUntil = 0;
                    node.duties.setEligible(true);
                }
            }
            if (!calm && random.nextInt(400) == 0) {
                leader = random.nextInt(nodes.size());
            }
            if (random.nextInt(500) == 0) {
                any.duties.restore(
                        any.clock(), ClusterState.decode(any.duties.state().encode()));
            }
            if (!calm && random.nextInt(600) == 0) {
                restart(any);
            }
            if (random.nextInt(300) == 0) {
                lostSite = lostSite.isEmpty() ? SITES.get(random.nextInt(SITES.size())) : "";
            }
            if (random.nextInt(30) == 0) {
                any.wanted = Math.max(0, random.nextInt(1_200) - 300);
            }
            if (i == ticks / 2) {
                nodes.forEach(node -> node.duties.configureSites(node.clock(), SETTINGS.sites));
                if (countsFromAnswer) {
                    nodes.forEach(node -> node.duties.countValidityFrom((asked, answered) -> answered));
                }
            }
            removed = i > ticks * 3 / 4;
        }

        private void restart(Node node) throws Exception {
            byte[] state = node.duties.state().encode();
            node.start();
            node.unwillingUntil = 0;
            node.duties.restore(node.clock(), ClusterState.decode(state));
        }

        private void operate() throws Exception {
            if (random.nextInt(25) > 0) {
                return;
            }
            Node node = nodes.get(random.nextInt(nodes.size()));
            ClusterState state = node.duties.state();
            String target = "c" + random.nextInt(3) + random.nextInt(3);
            long after = state.lastOperatorCommand(target);
            String site = SITES.get(random.nextInt(SITES.size()));
            long entry = state.failover().status(site).entry();
            String lease = LEASES.get(random.nextInt(3));
            String to = nodes.get(random.nextInt(nodes.size())).name;
            long unixMs = now / 1_000;
            Command command = switch (random.nextInt(12)) {
                case 0 -> new Command.DrainCache(target, unixMs, after);
                case 1, 2 -> new Command.ReinstateCache(target, unixMs, after);
                case 3, 4, 5, 6 -> new Command.RequestMaintenance(target, "z" + target.charAt(1), unixMs, after);
                case 7, 8 ->
                    new Command.RequestTransfer(lease, state.lease(lease).token(), to);
                case 9 -> new Command.PauseSiteRecovery(site, random.nextInt(3) == 0, entry);
                case 10 -> new Command.StartFailoverDrill(site, entry);
                default -> new Command.RenewLease(lease, state.lease(lease).token(), 1);
            };
            send(CommandCodec.encode(node.duties.sign(command)));
        }

        private void send(byte[] command) {
            trace.bytes(command);
            if (random.nextInt(12) > 0) {
                sent.add(new Sent(now + random.nextInt(60_000), numbers++, command));
            }
            if (random.nextInt(20) == 0) {
                sent.add(new Sent(now + random.nextInt(400_000), numbers++, command)); // It comes again.
            }
        }

        private void sendOwn(Command.Envelope signed) throws Exception {
            byte[] bytes = CommandCodec.encode(signed);
            kinds.add(kind(bytes));
            send(bytes);
        }

        private void applyAgreed(Node node) throws Exception {
            if (random.nextInt(4) == 0) {
                return; // It lags.
            }
            while (node.applied < log.size()) {
                Command.Envelope signed = CommandCodec.decode(log.get(node.applied++));
                trace.text(outcome(node.duties.apply(node.clock(), node.applied, signed)));
            }
        }

        private void tick(Node node, int i) throws Exception {
            long clock = node.clock();
            LeaseManager.View view = new LeaseManager.View(members(), heard(node), now / 1_000);
            for (Command.Envelope signed : node.duties.tick(clock, view)) {
                sendOwn(signed);
            }
            if (i % 50 == nodes.indexOf(node)) {
                sendOwn(node.duties.reportObservations(observations(node)));
            }
            node.duties.planInput(clock).ifPresent(question -> node.duties.planComputed(clock, plan(question.loads())));
            Optional<Command.Envelope> quotaRequest = node.duties.requestQuota(clock, node.wanted);
            if (quotaRequest.isPresent()) {
                sendOwn(quotaRequest.get());
            }
        }

        private Set<String> members() {
            Set<String> members = new TreeSet<>();
            nodes.forEach(node -> members.add(node.name));
            if (removed && nodes.size() > 2) {
                members.remove(nodes.get(nodes.size() - 1).name);
            }
            return members;
        }

        private Set<String> heard(Node node) {
            if (nodes.indexOf(node) != leader) {
                return null;
            }
            Set<String> heard = new TreeSet<>();
            nodes.stream().filter(other -> !other.stopped()).forEach(other -> heard.add(other.name));
            return heard;
        }

        private Map<String, SiteObservation> observations(Node node) {
            Map<String, SiteObservation> observations = new TreeMap<>();
            for (String site : SITES) {
                boolean own = SETTINGS.sites.sites().get(site).directors().contains(node.name);
                boolean lost = site.equals(lostSite);
                int good = lost ? 0 : 20 + random.nextInt(20);
                int bad = lost ? 20 : 0;
                double load = own ? 4 + random.nextInt(3) : 0;
                observations.put(site, new SiteObservation(4, lost ? 0 : 4, 1, 1, good, 1, bad, 0, load));
            }
            return observations;
        }

        private FailoverPlan plan(SortedMap<String, Double> loads) {
            SortedMap<String, SortedMap<String, FailoverPlan.Shares>> cases = new TreeMap<>();
            loads.forEach((site, load) -> {
                String other = SITES.get((SITES.indexOf(site) + 1) % SITES.size());
                FailoverPlan.Part part = new FailoverPlan.Part(other, load / 2, load);
                cases.put(site, new TreeMap<>(Map.of(site, new FailoverPlan.Shares(List.of(part), load / 4))));
            });
            return new FailoverPlan(cases);
        }

        private void record(Node node) {
            long clock = node.clock();
            for (String lease : LEASES) {
                trace.number(node.duties.validToken(lease, clock));
                trace.number(node.duties.remainingMicros(lease, clock));
            }
            trace.number(node.duties.quotaThousandths(clock));
            trace.number(node.duties.orderCount());
            trace.number(node.duties.holdsNoLease() ? 1 : 0);
            node.duties.siteLoads().forEach((site, load) -> {
                trace.text(site);
                trace.number(Double.doubleToLongBits(load));
            });
        }
    }

    /** The configuration of {@link VirtualCluster}; times in microseconds. */
    private static final class ClusterConfiguration {
        final LeaseSettings settings = new LeaseSettings(
                1_000_000,
                0.01,
                150_000,
                Set.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA, LeaseNames.SITES),
                new LeaseSettings.MaintenanceBudget(0, 0.25, 2_500_000, true),
                new LeaseSettings.QuotaPolicy(400, 1_500_000));
        final Sites sites = sites();

        private static Sites sites() {
            SortedMap<String, Site> byName = new TreeMap<>();
            for (int i = 0; i < SITES.size(); i++) {
                Set<String> directors = Set.of("d" + (i + 1));
                Site.Taker taker = new Site.Taker(SITES.get((i + 1) % SITES.size()), 1);
                byName.put(SITES.get(i), new Site(SITES.get(i), "", directors, 20, 0.5, 0.2, 0, List.of(taker)));
            }
            List<Double> steps = List.of(0.25, 0.5, 1.0);
            Sites.Timing timing = new Sites.Timing(700_000, 1_000_000, 6_000_000, 400_000, steps, 1_500_000);
            return new Sites(byName, 0.2, timing);
        }
    }
}
