package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.failover.AttemptCounts;
import pewtercourse.failover.EndpointCount;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;
import pewtercourse.lease.wire.LeaseWire;

/** Encodes the agreed state of the sites, and the commands that change it, into their stored form, and decodes them. */
final class FailoverCodec {
    private FailoverCodec() {}

    static LeaseWire.ReportSiteObservation encode(Command.ReportSiteObservation command) {
        LeaseWire.ReportSiteObservation.Builder wire = LeaseWire.ReportSiteObservation.newBuilder();
        // Sorted, so that equal commands are encoded to equal bytes.
        new TreeMap<>(command.observations())
                .forEach((site, observation) -> wire.addObservation(encode(site, observation)));
        return wire.build();
    }

    private static LeaseWire.SiteObservation encode(String site, SiteObservation observation) {
        return LeaseWire.SiteObservation.newBuilder()
                .setSite(site)
                .setUsualCaches(observation.caches().usual())
                .setReadyCaches(observation.caches().ready())
                .setUsualParents(observation.parents().usual())
                .setReadyParents(observation.parents().ready())
                .setSucceeded(observation.attempts().onTime())
                .setSlow(observation.attempts().late())
                .setFailed(observation.attempts().failed())
                .setRejected(observation.attempts().rejected())
                .setLoad(observation.load())
                .build();
    }

    static Command.ReportSiteObservation decode(LeaseWire.ReportSiteObservation wire) {
        Map<String, SiteObservation> observations = new TreeMap<>();
        wire.getObservationList().forEach(observation -> observations.put(observation.getSite(), decode(observation)));
        return new Command.ReportSiteObservation(observations);
    }

    private static SiteObservation decode(LeaseWire.SiteObservation wire) {
        return new SiteObservation(
                new EndpointCount(wire.getUsualCaches(), wire.getReadyCaches()),
                new EndpointCount(wire.getUsualParents(), wire.getReadyParents()),
                new AttemptCounts(wire.getSucceeded(), wire.getSlow(), wire.getFailed(), wire.getRejected()),
                wire.getLoad());
    }

    static LeaseWire.ChangeSiteStatus encode(Command.ChangeSiteStatus command) {
        SiteStatusChange change = command.change();
        return LeaseWire.ChangeSiteStatus.newBuilder()
                .setSite(change.site())
                .setPhase(change.phase().name())
                .setHealth(change.health().name())
                .setStep(change.step())
                .setFlaps(change.flaps())
                .setExpectedEntry(change.expectedIndex())
                .setToken(command.token())
                .build();
    }

    static Command.ChangeSiteStatus decode(LeaseWire.ChangeSiteStatus wire) throws InvalidProtocolBufferException {
        return new Command.ChangeSiteStatus(
                new SiteStatusChange(
                        wire.getSite(),
                        parseEnum(SiteStatus.Phase.class, wire.getPhase()),
                        parseEnum(SiteHealth.class, wire.getHealth()),
                        wire.getStep(),
                        wire.getFlaps(),
                        wire.getExpectedEntry()),
                wire.getToken());
    }

    private static <E extends Enum<E>> E parseEnum(Class<E> type, String name) throws InvalidProtocolBufferException {
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("unknown value '" + name + "': it comes from a later version");
        }
    }

    static LeaseWire.FailoverPlan encode(FailoverPlan plan) {
        LeaseWire.FailoverPlan.Builder wire = LeaseWire.FailoverPlan.newBuilder();
        plan.cases().forEach((key, distributions) -> {
            LeaseWire.LossScenario.Builder scenario =
                    LeaseWire.LossScenario.newBuilder().setKey(key);
            distributions.forEach((site, distribution) -> scenario.addShares(encode(site, distribution)));
            wire.addScenario(scenario);
        });
        return wire.build();
    }

    private static LeaseWire.SiteShares encode(String site, FailoverPlan.Distribution distribution) {
        LeaseWire.SiteShares.Builder wire =
                LeaseWire.SiteShares.newBuilder().setSite(site).setRejected(distribution.rejected());
        distribution
                .allocations()
                .forEach(allocation -> wire.addTarget(LeaseWire.TargetShare.newBuilder()
                        .setSite(allocation.site())
                        .setWork(allocation.load())
                        .setMaxWork(allocation.max())));
        return wire.build();
    }

    static FailoverPlan decode(LeaseWire.FailoverPlan wire) {
        SortedMap<String, SortedMap<String, FailoverPlan.Distribution>> scenarios = new TreeMap<>();
        wire.getScenarioList().forEach(scenario -> {
            SortedMap<String, FailoverPlan.Distribution> distributions = new TreeMap<>();
            scenario.getSharesList().forEach(shares -> distributions.put(shares.getSite(), decode(shares)));
            scenarios.put(scenario.getKey(), distributions);
        });
        return new FailoverPlan(scenarios);
    }

    private static FailoverPlan.Distribution decode(LeaseWire.SiteShares wire) {
        List<FailoverPlan.Allocation> allocations = wire.getTargetList().stream()
                .map(target -> new FailoverPlan.Allocation(target.getSite(), target.getWork(), target.getMaxWork()))
                .toList();
        return new FailoverPlan.Distribution(allocations, wire.getRejected());
    }

    static void encode(FailoverState failover, LeaseWire.Snapshot.Builder snapshot) {
        failover.statuses().forEach((site, status) -> snapshot.addSiteStatus(encode(site, status)));
        snapshot.setFailoverPlan(encode(failover.plan()));
    }

    private static LeaseWire.SiteStatus encode(String site, SiteStatus status) {
        return LeaseWire.SiteStatus.newBuilder()
                .setSite(site)
                .setPhase(status.phase().name())
                .setHealth(status.health().name())
                .setStep(status.step())
                .setFlaps(status.flaps())
                .setHeld(status.held())
                .setDrill(status.drill())
                .setEntry(status.lastChangeIndex())
                .build();
    }

    static void decode(LeaseWire.Snapshot snapshot, FailoverState failover) throws InvalidProtocolBufferException {
        for (LeaseWire.SiteStatus status : snapshot.getSiteStatusList()) {
            failover.restore(status.getSite(), decode(status));
        }
        if (snapshot.hasFailoverPlan() && snapshot.getFailoverPlan().getScenarioCount() > 0) {
            failover.setPlan(decode(snapshot.getFailoverPlan()));
        }
    }

    private static SiteStatus decode(LeaseWire.SiteStatus wire) throws InvalidProtocolBufferException {
        return new SiteStatus(
                parseEnum(SiteStatus.Phase.class, wire.getPhase()),
                parseEnum(SiteHealth.class, wire.getHealth()),
                wire.getStep(),
                wire.getFlaps(),
                wire.getHeld(),
                wire.getDrill(),
                wire.getEntry());
    }
}
