package pewtercourse.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.failover.AttemptCounts;
import pewtercourse.failover.EndpointCount;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;

/** One command of each kind with every field set, no two fields alike: for tests of what is kept and sent. */
public final class SampleCommands {
    private static final long AT_MS = 1_700_000_000_000L;
    private static final long LARGE = 1L << 40;

    private SampleCommands() {}

    /** Of each kind at least one, signed by different members. The same on each call. */
    public static List<Command.Envelope> signed() {
        List<Command.Envelope> signed = new ArrayList<>();
        for (Command command : all()) {
            int number = signed.size() + 1;
            signed.add(new Command.Envelope("member-" + (char) ('a' + number % 3), LARGE + 7 * number, command));
        }
        return signed;
    }

    /** Of each kind at least one, and one declaration for each value of the enums that it holds. */
    public static List<Command> all() {
        List<Command> all = new ArrayList<>();
        all.add(new Command.AssignLease(LeaseNames.MAINTENANCE, "member-b", 101, 102));
        all.add(new Command.RenewLease(LeaseNames.QUOTA, 103, 104));
        all.add(new Command.ReleaseLease(LeaseNames.SITES, 105, "member-c"));
        all.add(new Command.RequestTransfer("another-lease", 106, "member-d"));
        all.add(new Command.ReportAbsence("member-e", true));
        all.add(new Command.ReportAbsence("member-f", false));
        all.add(new Command.DrainCache("cache-1", AT_MS + 1, 107));
        all.add(new Command.ReinstateCache("cache-2", AT_MS + 2, 108));
        all.add(new Command.RequestMaintenance("cache-3", "zone-1", AT_MS + 3, 109));
        all.add(new Command.GrantMaintenance("cache-4", 110, 111, AT_MS + 4));
        all.add(new Command.CancelMaintenance("cache-5", 112, 113, AT_MS + 5));
        all.add(new Command.RequestQuota(250));
        all.add(new Command.GrantQuota("member-g", 114, 115, 116, LARGE + 117));
        all.add(new Command.ReleaseQuota(118, 119));
        all.add(new Command.SetEligibility(true));
        all.add(new Command.SetEligibility(false));
        all.add(new Command.ReportSiteObservation(observations()));
        all.addAll(declarations());
        all.add(new Command.PublishFailoverPlan(plan(), 120));
        all.add(new Command.PauseSiteRecovery("site-8", true, 121));
        all.add(new Command.PauseSiteRecovery("site-9", false, 122));
        all.add(new Command.StartFailoverDrill("site-10", 123));
        return all;
    }

    private static SortedMap<String, SiteObservation> observations() {
        SortedMap<String, SiteObservation> observations = new TreeMap<>();
        observations.put("site-1", observation(11, 0.1));
        observations.put("site-2", observation(21, 1e9 / 3));
        return observations;
    }

    // Counts that differ from each other: the first one and those after it.
    private static SiteObservation observation(int first, double load) {
        return new SiteObservation(
                new EndpointCount(first, first + 1),
                new EndpointCount(first + 2, first + 3),
                new AttemptCounts(first + 4, first + 5, first + 6, first + 7),
                load);
    }

    private static List<Command> declarations() {
        List<Command> declarations = new ArrayList<>();
        SiteStatus.Phase[] phases = SiteStatus.Phase.values();
        for (SiteHealth health : SiteHealth.values()) {
            int number = health.ordinal();
            declarations.add(new Command.ChangeSiteStatus(
                    new SiteStatusChange(
                            "site-" + number,
                            phases[number % phases.length],
                            health,
                            31 + number,
                            41 + number,
                            51 + number),
                    61 + number));
        }
        return declarations;
    }

    /** A plan for the loss of one site and of two. */
    public static FailoverPlan plan() {
        FailoverPlan.Distribution shares1 = new FailoverPlan.Distribution(
                List.of(
                        new FailoverPlan.Allocation("site-2", 1.5, 2.25),
                        new FailoverPlan.Allocation("site-3", 0.1, 0.7)),
                0.3);
        FailoverPlan.Distribution shares2 =
                new FailoverPlan.Distribution(List.of(new FailoverPlan.Allocation("site-3", 100.0 / 3, 1e6)), 17);
        SortedMap<String, SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        cases.put("site-1", new TreeMap<>(java.util.Map.of("site-1", shares1)));
        cases.put("site-1+site-2", new TreeMap<>(java.util.Map.of("site-1", shares1, "site-2", shares2)));
        return new FailoverPlan(cases);
    }
}
