package pewtercourse.admin;

import io.vertx.core.Future;

/** The operations of a director that operators may call, independent of the protocol. All run on the event loop. */
public interface Operations {
    /** Whether this process can serve clients. */
    boolean canServe();

    /** The metrics, one line NAME=VALUE for each. */
    String metrics();

    /**
     * The result of a call.
     *
     * @param known whether the target of the call exists
     * @param refused the reason why the call was refused, or null
     */
    record Verdict(boolean known, String refused) {
        /** The call was carried out. */
        public static final Verdict DONE = new Verdict(true, null);

        /** The target does not exist. */
        public static final Verdict UNKNOWN = new Verdict(false, null);

        /** The call was refused for this reason. */
        public static Verdict refused(String reason) {
            return new Verdict(true, reason);
        }
    }

    /** Takes a cache out of rotation until {@link #exitMaintenance}. The future never fails. */
    Future<Verdict> enterMaintenance(String target);

    /** Puts a cache back into rotation, however often it was taken out. The future never fails. */
    Future<Verdict> exitMaintenance(String target);

    /** Reloads the configuration, as SIGHUP does. An invalid one is refused with its faulty key, and nothing changes. */
    Future<Verdict> reload();

    /** The calls on the cluster that this director belongs to, or null. */
    default ClusterCalls cluster() {
        return null;
    }

    /** Sends clients to other directors until {@link #active}. Repeated calls have no further effect. */
    void standby();

    /** Ends the standby. */
    void active();
}
