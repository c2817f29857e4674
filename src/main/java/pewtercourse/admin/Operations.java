package pewtercourse.admin;

import io.vertx.core.Future;

/** What operators may ask of a director, whatever protocol the call came by. All run on the event loop. */
public interface Operations {
    /** Whether this process can serve. */
    boolean canServe();

    /** The figures: a line for each, NAME=VALUE. */
    String metrics();

    /** What became of a call: done; or not, as nothing of this name is known; or not for the reason told. */
    record Verdict(boolean known, String refused) {
        public static final Verdict DONE = new Verdict(true, null), UNKNOWN = new Verdict(false, null);

        public static Verdict refused(String why) {
            return new Verdict(true, why);
        }
    }

    /** Takes a cache out until {@link #exitMaintenance}. Never fails. */
    Future<Verdict> enterMaintenance(String target);

    /** It may serve again, however often it was taken out. Never fails. */
    Future<Verdict> exitMaintenance(String target);

    /** Reads the configuration again, as at SIGHUP: refused with the faulty key, and nothing has changed, or done. */
    Future<Verdict> reload();

    /** The calls on the cluster of directors, if this one belongs to one. */
    default ClusterCalls cluster() {
        return null;
    }

    /** Clients are sent away until {@link #active}. Twice is as good as once. */
    void standby();

    void active();
}
