package pewtercourse.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * At one director: which site serves a request of its own clients, by what is agreed, or whether it is refused. While its
 * own site is whole that is always the own one. Knows no sockets; {@code now} is microseconds.
 */
public final class OverflowRouter {
    /**
     * A request. {@code must}: may not be made twice, and only the origin can serve it: it is never refused here.
     * {@code work}: how long its answer takes to send. {@code needs}: how long it takes in all, where all is well.
     */
    public record Ask(
            long object,
            double worth,
            double work,
            long aim,
            long expires,
            long needs,
            boolean must,
            boolean renewal) {}

    /** {@code site} null: refused, and to come again after {@code holdOff}. */
    public record Choice(String site, long holdOff) {}

    // While the own site is lost, one request so often is tried there: else nobody would see it come back.
    private static final long TRIAL_EVERY = 300_000;
    // Advice to those refused, as a share of their aim, and how much it is spread.
    private static final double HOLD_OFF = 0.25, SPREAD = 3;

    private final Sites sites;
    private final String own;
    private final long holdOffMost;
    private final Random random;
    private final RequestPriorities worths = new RequestPriorities();
    private final Map<String, LoadShedder> shedders = new HashMap<>();
    private SiteStatus status = SiteStatus.WHOLE;
    private SortedMap<String, Double> weights = new TreeMap<>();
    private long trialAt;
    private boolean listed = true;

    /** {@code holdOffMost}: the longest advice that clients follow. */
    public OverflowRouter(Sites sites, String own, long holdOffMost, long seed) {
        this.sites = sites;
        this.own = own;
        this.holdOffMost = holdOffMost;
        this.random = new Random(seed);
    }

    /** What is agreed has changed. {@code directors}: of the own site, that share what is lent to it; at least 1. */
    public void follow(long now, FailoverState failover, int directors) {
        status = failover.status(own);
        weights = new TreeMap<>();
        if (!status.away()) {
            shedders.clear();
            return;
        }
        FailoverPlan.Shares shares =
                failover.plan().when(failover.away()).getOrDefault(own, FailoverPlan.Shares.NOTHING);
        for (FailoverPlan.Part p : shares.parts()) {
            weights.put(p.site(), p.work());
            shedders.computeIfAbsent(p.site(), s -> new LoadShedder(now)).limit(p.most() / Math.max(1, directors));
        }
        shedders.keySet().retainAll(weights.keySet());
    }

    /** Whether any cache of the own site is listed: with none a trial there is in vain. */
    public void listed(boolean any) {
        listed = any;
    }

    public boolean away() {
        return status.away();
    }

    /** Sites that it may send to now besides its own. */
    public Iterable<String> takers() {
        return weights.keySet();
    }

    public Choice choose(long now, Ask a) {
        if (!status.away() || atHome(now, a)) {
            return new Choice(own, 0);
        }
        double rank = worths.rank(now, a.worth(), Math.max(1, a.work()), a.object(), a.renewal());
        String taker = pick(a.object());
        if (taker == null) {
            // Nobody takes it. What only the origin can serve is tried by what is left of the own site.
            return a.must() ? new Choice(own, 0) : refused(a);
        }
        if (!a.must() && now + a.needs() > a.expires()) {
            return refused(a);
        }
        return shedders.get(taker).admit(now, rank, a.work(), a.must()) ? new Choice(taker, 0) : refused(a);
    }

    private boolean atHome(long now, Ask a) {
        if (status.phase() == SiteStatus.Phase.RETURNING) {
            // Objects come back in one order, so that a further step moves none away again.
            return unit(a.object() ^ 0x9e3779b97f4a7c15L)
                    < sites.timing().steps().get(status.step());
        }
        if (!listed || a.must() || a.renewal() || now < trialAt || status.drill()) {
            return false;
        }
        trialAt = now + TRIAL_EVERY;
        return true;
    }

    // Weighted rendezvous hashing: an object's requests meet at one taker, from whichever director, and a change of the
    // plan moves only what it must. At the taker its caches' own order sends them to the object's home there.
    private String pick(long object) {
        String best = null;
        double most = 0;
        for (Map.Entry<String, Double> w : weights.entrySet()) {
            double score = -w.getValue() / Math.log(unit(object ^ hash(w.getKey())));
            if (best == null || score > most) {
                best = w.getKey();
                most = score;
            }
        }
        return best;
    }

    private Choice refused(Ask a) {
        double off = HOLD_OFF * a.aim() * (1 + (SPREAD - 1) * random.nextDouble());
        return new Choice(null, Math.min(holdOffMost, (long) off));
    }

    // Between 0 and 1, neither of them.
    private static double unit(long x) {
        return ((mix(x) >>> 11) + 0.5) * 0x1.0p-53;
    }

    /** Of an object's or a site's name. */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    private static long mix(long x) {
        x = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }
}
