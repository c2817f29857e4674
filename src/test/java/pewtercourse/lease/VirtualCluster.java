package pewtercourse.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.failover.AttemptCounts;
import pewtercourse.failover.EndpointCount;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteObservation;

/** A few members that share one agreed sequence of commands, on clocks that differ, with delays and losses. */
final class VirtualCluster {
    private static final List<String> SITES = VirtualClusterSettings.SITES;
    private static final List<String> LEASES =
            List.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA, LeaseNames.SITES, "other");
    private static final long TICK = 10_000;
    private static final VirtualClusterSettings SETTINGS = new VirtualClusterSettings();

    private record Sent(long at, long number, byte[] command) {}

    private final class Node {
        final String name;
        final double rate;
        final long offset;
        LeaseManager manager;
        int applied;
        long stoppedUntil;
        long ineligibleUntil;
        long wantedQuota;

        Node(String name, int place) {
            this.name = name;
            this.rate = 1 + 0.004 * place;
            this.offset = 1_000_000L * place;
            start();
        }

        void start() {
            manager = new LeaseManager(
                    SETTINGS.settings,
                    name,
                    random.nextInt(1 << 20),
                    cache -> cache.endsWith("0") ? "" : "z" + cache.charAt(1),
                    zone -> zone.isEmpty() ? 1 : 8);
            manager.configureSites(clock(), SETTINGS.sites);
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        boolean stopped() {
            return now < stoppedUntil;
        }
    }

    private final TraceHash trace = new TraceHash();
    private final Random random;
    private final Set<Integer> kinds;
    private final List<Node> nodes = new ArrayList<>();
    private final List<byte[]> log = new ArrayList<>();
    private final PriorityQueue<Sent> sent = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final boolean countsFromApplication;
    private long now;
    private long numbers;
    private int leader;
    private String lostSite = "";
    private boolean removed;

    VirtualCluster(long seed, int size, Set<Integer> kinds) {
        this.random = new Random(seed);
        this.kinds = kinds;
        this.countsFromApplication = seed == 4;
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
            any.ineligibleUntil = now + 500_000L + random.nextInt(2_000_000);
            any.manager.setEligible(false);
        }
        for (Node node : nodes) {
            if (node.ineligibleUntil > 0 && now >= node.ineligibleUntil) {
                node.ineligibleUntil = 0;
                node.manager.setEligible(true);
            }
        }
        if (!calm && random.nextInt(400) == 0) {
            leader = random.nextInt(nodes.size());
        }
        if (random.nextInt(500) == 0) {
            any.manager.restore(
                    any.clock(), ClusterState.decode(any.manager.state().encode()));
        }
        if (!calm && random.nextInt(600) == 0) {
            restart(any);
        }
        if (random.nextInt(300) == 0) {
            lostSite = lostSite.isEmpty() ? SITES.get(random.nextInt(SITES.size())) : "";
        }
        if (random.nextInt(30) == 0) {
            any.wantedQuota = Math.max(0, random.nextInt(1_200) - 300);
        }
        if (i == ticks / 2) {
            nodes.forEach(node -> node.manager.configureSites(node.clock(), SETTINGS.sites));
            if (countsFromApplication) {
                nodes.forEach(node -> node.manager.countValidityFrom((proposedAt, appliedAt) -> appliedAt));
            }
        }
        removed = i > ticks * 3 / 4;
    }

    private void restart(Node node) throws Exception {
        byte[] state = node.manager.state().encode();
        node.start();
        node.ineligibleUntil = 0;
        node.manager.restore(node.clock(), ClusterState.decode(state));
    }

    private void operate() throws Exception {
        if (random.nextInt(25) > 0) {
            return;
        }
        Node node = nodes.get(random.nextInt(nodes.size()));
        ClusterState state = node.manager.state();
        String target = "c" + random.nextInt(3) + random.nextInt(3);
        long lastCommand = state.lastOperatorCommand(target);
        String site = SITES.get(random.nextInt(SITES.size()));
        long entry = state.failover().status(site).lastChangeIndex();
        String lease = LEASES.get(random.nextInt(3));
        String to = nodes.get(random.nextInt(nodes.size())).name;
        long unixMs = now / 1_000;
        Command command = switch (random.nextInt(12)) {
            case 0 -> new Command.DrainCache(target, unixMs, lastCommand);
            case 1, 2 -> new Command.ReinstateCache(target, unixMs, lastCommand);
            case 3, 4, 5, 6 -> new Command.RequestMaintenance(target, "z" + target.charAt(1), unixMs, lastCommand);
            case 7, 8 -> new Command.RequestTransfer(lease, state.lease(lease).token(), to);
            case 9 -> new Command.PauseSiteRecovery(site, random.nextInt(3) == 0, entry);
            case 10 -> new Command.StartFailoverDrill(site, entry);
            default -> new Command.RenewLease(lease, state.lease(lease).token(), 1);
        };
        send(CommandCodec.encode(node.manager.sign(command)));
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

    private void propose(Command.Envelope envelope) throws Exception {
        byte[] bytes = CommandCodec.encode(envelope);
        kinds.add(TraceHash.kind(bytes));
        send(bytes);
    }

    private void applyAgreed(Node node) throws Exception {
        if (random.nextInt(4) == 0) {
            return; // It lags.
        }
        while (node.applied < log.size()) {
            Command.Envelope envelope = CommandCodec.decode(log.get(node.applied++));
            trace.outcome(node.manager.apply(node.clock(), node.applied, envelope));
        }
    }

    private void tick(Node node, int i) throws Exception {
        long clock = node.clock();
        LeaseManager.View view = new LeaseManager.View(members(), active(node), now / 1_000);
        for (Command.Envelope envelope : node.manager.tick(clock, view)) {
            propose(envelope);
        }
        if (i % 50 == nodes.indexOf(node)) {
            propose(node.manager.reportObservations(observations(node)));
        }
        node.manager.planInput(clock).ifPresent(input -> node.manager.planComputed(clock, plan(input.loads())));
        Optional<Command.Envelope> quotaRequest = node.manager.requestQuota(clock, node.wantedQuota);
        if (quotaRequest.isPresent()) {
            propose(quotaRequest.get());
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

    private Set<String> active(Node node) {
        if (nodes.indexOf(node) != leader) {
            return null;
        }
        Set<String> active = new TreeSet<>();
        nodes.stream().filter(other -> !other.stopped()).forEach(other -> active.add(other.name));
        return active;
    }

    private Map<String, SiteObservation> observations(Node node) {
        Map<String, SiteObservation> observations = new TreeMap<>();
        for (String site : SITES) {
            boolean own = SETTINGS.sites.byName().get(site).directors().contains(node.name);
            boolean lost = site.equals(lostSite);
            int good = lost ? 0 : 20 + random.nextInt(20);
            int bad = lost ? 20 : 0;
            double load = own ? 4 + random.nextInt(3) : 0;
            EndpointCount caches = new EndpointCount(4, lost ? 0 : 4);
            AttemptCounts attempts = new AttemptCounts(good, 1, bad, 0);
            observations.put(site, new SiteObservation(caches, new EndpointCount(1, 1), attempts, load));
        }
        return observations;
    }

    private FailoverPlan plan(SortedMap<String, Double> loads) {
        SortedMap<String, SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        loads.forEach((site, load) -> {
            String other = SITES.get((SITES.indexOf(site) + 1) % SITES.size());
            FailoverPlan.Allocation part = new FailoverPlan.Allocation(other, load / 2, load);
            cases.put(site, new TreeMap<>(Map.of(site, new FailoverPlan.Distribution(List.of(part), load / 4))));
        });
        return new FailoverPlan(cases);
    }

    private void record(Node node) {
        long clock = node.clock();
        for (String lease : LEASES) {
            trace.number(node.manager.validToken(lease, clock));
            trace.number(node.manager.remainingMicros(lease, clock));
        }
        trace.number(node.manager.quotaThousandths(clock));
        trace.number(node.manager.orderCount());
        trace.number(node.manager.holdsNoLease() ? 1 : 0);
        node.manager.siteLoads().forEach((site, load) -> {
            trace.text(site);
            trace.number(Double.doubleToLongBits(load));
        });
    }

    String hash() {
        return trace.hash();
    }
}
