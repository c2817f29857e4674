package pewtercourse.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.duty.wire.DutyWire;
import pewtercourse.site.FailoverController;
import pewtercourse.site.FailoverState;
import pewtercourse.site.Health;
import pewtercourse.site.Plan;
import pewtercourse.site.SiteObservation;
import pewtercourse.site.Status;

/** Between what is agreed on sites and its form in the log. */
final class SiteCodec {
    private SiteCodec() {}

    static DutyWire.Sighted encode(Command.Sighted t) {
        DutyWire.Sighted.Builder b = DutyWire.Sighted.newBuilder();
        new TreeMap<>(t.siteObservations())
                .forEach((site, s) -> b.addSight(DutyWire.Sight.newBuilder()
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

    static Command.Sighted decode(DutyWire.Sighted t) {
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
        return new Command.Sighted(siteObservations);
    }

    static DutyWire.Declare encode(Command.Declare d) {
        FailoverController.Declaration w = d.what();
        return DutyWire.Declare.newBuilder()
                .setSite(w.site())
                .setPhase(w.phase().name())
                .setHealth(w.health().name())
                .setStep(w.step())
                .setFlaps(w.flaps())
                .setAfter(w.after())
                .setToken(d.token())
                .build();
    }

    static Command.Declare decode(DutyWire.Declare d) throws InvalidProtocolBufferException {
        return new Command.Declare(
                new FailoverController.Declaration(
                        d.getSite(),
                        one(Status.Phase.class, d.getPhase()),
                        one(Health.class, d.getHealth()),
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

    static DutyWire.Plan encode(Plan p) {
        DutyWire.Plan.Builder b = DutyWire.Plan.newBuilder();
        p.cases().forEach((key, shares) -> {
            DutyWire.Case.Builder c = DutyWire.Case.newBuilder().setKey(key);
            shares.forEach((site, s) -> {
                DutyWire.Shares.Builder of =
                        DutyWire.Shares.newBuilder().setSite(site).setRefused(s.refused());
                s.parts()
                        .forEach(x -> of.addPart(DutyWire.Part.newBuilder()
                                .setSite(x.site())
                                .setWork(x.work())
                                .setMost(x.most())));
                c.addShares(of);
            });
            b.addCase(c);
        });
        return b.build();
    }

    static Plan decode(DutyWire.Plan p) {
        SortedMap<String, SortedMap<String, Plan.Shares>> cases = new TreeMap<>();
        p.getCaseList().forEach(c -> {
            SortedMap<String, Plan.Shares> shares = new TreeMap<>();
            c.getSharesList().forEach(s -> {
                List<Plan.Part> parts = new ArrayList<>();
                s.getPartList().forEach(x -> parts.add(new Plan.Part(x.getSite(), x.getWork(), x.getMost())));
                shares.put(s.getSite(), new Plan.Shares(parts, s.getRefused()));
            });
            cases.put(c.getKey(), shares);
        });
        return new Plan(cases);
    }

    static void encode(FailoverState failover, DutyWire.State.Builder to) {
        failover.statuses()
                .forEach((site, s) -> to.addSite(DutyWire.SiteStatus.newBuilder()
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

    static void decode(DutyWire.State from, FailoverState to) throws InvalidProtocolBufferException {
        for (DutyWire.SiteStatus s : from.getSiteList()) {
            to.restore(
                    s.getSite(),
                    new Status(
                            one(Status.Phase.class, s.getPhase()),
                            one(Health.class, s.getHealth()),
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
