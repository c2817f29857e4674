package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.lease.wire.LeaseWire;

/** Between what is agreed on sites and its form in the log. */
final class FailoverCodec {
    private FailoverCodec() {}

    static LeaseWire.Sighted encode(Command.ReportSiteObservation t) {
        LeaseWire.Sighted.Builder b = LeaseWire.Sighted.newBuilder();
        new TreeMap<>(t.siteObservations())
                .forEach((site, s) -> b.addSight(LeaseWire.Sight.newBuilder()
                        .setSite(site)
                        .setUsual(s.usual())
                        .setReady(s.ready())
                        .setParents(s.parents())
                        .setUp(s.up())
                        .setGood(s.good())
                        .setLate(s.late())
                        .setBad(s.bad())
                        .setRefused(s.refused())
                        .setLoad(s.load())));
        return b.build();
    }

    static Command.ReportSiteObservation decode(LeaseWire.Sighted t) {
        Map<String, SiteObservation> siteObservations = new TreeMap<>();
        t.getSightList()
                .forEach(s -> siteObservations.put(
                        s.getSite(),
                        new SiteObservation(
                                s.getUsual(),
                                s.getReady(),
                                s.getParents(),
                                s.getUp(),
                                s.getGood(),
                                s.getLate(),
                                s.getBad(),
                                s.getRefused(),
                                s.getLoad())));
        return new Command.ReportSiteObservation(siteObservations);
    }

    static LeaseWire.Declare encode(Command.ChangeSiteStatus d) {
        FailoverController.Declaration w = d.what();
        return LeaseWire.Declare.newBuilder()
                .setSite(w.site())
                .setPhase(w.phase().name())
                .setHealth(w.health().name())
                .setStep(w.step())
                .setFlaps(w.flaps())
                .setAfter(w.after())
                .setToken(d.token())
                .build();
    }

    static Command.ChangeSiteStatus decode(LeaseWire.Declare d) throws InvalidProtocolBufferException {
        return new Command.ChangeSiteStatus(
                new FailoverController.Declaration(
                        d.getSite(),
                        one(SiteStatus.Phase.class, d.getPhase()),
                        one(SiteHealth.class, d.getHealth()),
                        d.getStep(),
                        d.getFlaps(),
                        d.getAfter()),
                d.getToken());
    }

    private static <E extends Enum<E>> E one(Class<E> of, String name) throws InvalidProtocolBufferException {
        try {
            return Enum.valueOf(of, name);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("'" + name + "' is of a later version");
        }
    }

    static LeaseWire.Plan encode(FailoverPlan p) {
        LeaseWire.Plan.Builder b = LeaseWire.Plan.newBuilder();
        p.cases().forEach((key, shares) -> {
            LeaseWire.Case.Builder c = LeaseWire.Case.newBuilder().setKey(key);
            shares.forEach((site, s) -> {
                LeaseWire.Shares.Builder of =
                        LeaseWire.Shares.newBuilder().setSite(site).setRefused(s.refused());
                s.parts()
                        .forEach(x -> of.addPart(LeaseWire.Part.newBuilder()
                                .setSite(x.site())
                                .setWork(x.work())
                                .setMost(x.most())));
                c.addShares(of);
            });
            b.addCase(c);
        });
        return b.build();
    }

    static FailoverPlan decode(LeaseWire.Plan p) {
        SortedMap<String, SortedMap<String, FailoverPlan.Shares>> cases = new TreeMap<>();
        p.getCaseList().forEach(c -> {
            SortedMap<String, FailoverPlan.Shares> shares = new TreeMap<>();
            c.getSharesList().forEach(s -> {
                List<FailoverPlan.Part> parts = new ArrayList<>();
                s.getPartList().forEach(x -> parts.add(new FailoverPlan.Part(x.getSite(), x.getWork(), x.getMost())));
                shares.put(s.getSite(), new FailoverPlan.Shares(parts, s.getRefused()));
            });
            cases.put(c.getKey(), shares);
        });
        return new FailoverPlan(cases);
    }

    static void encode(FailoverState failover, LeaseWire.State.Builder to) {
        failover.statuses()
                .forEach((site, s) -> to.addSite(LeaseWire.SiteStatus.newBuilder()
                        .setSite(site)
                        .setPhase(s.phase().name())
                        .setHealth(s.health().name())
                        .setStep(s.step())
                        .setFlaps(s.flaps())
                        .setHeld(s.held())
                        .setDrill(s.drill())
                        .setEntry(s.entry())));
        to.setPlan(encode(failover.plan()));
    }

    static void decode(LeaseWire.State from, FailoverState to) throws InvalidProtocolBufferException {
        for (LeaseWire.SiteStatus s : from.getSiteList()) {
            to.restore(
                    s.getSite(),
                    new SiteStatus(
                            one(SiteStatus.Phase.class, s.getPhase()),
                            one(SiteHealth.class, s.getHealth()),
                            s.getStep(),
                            s.getFlaps(),
                            s.getHeld(),
                            s.getDrill(),
                            s.getEntry()));
        }
        if (from.hasPlan() && from.getPlan().getCaseCount() > 0) {
            to.plan(decode(from.getPlan()));
        }
    }
}
