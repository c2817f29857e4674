package pewtercourse.decision;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The work of this router that may reach an endpoint within an overload window. Work is charged when an attempt is sent. It
 * counts for as long as the attempt may still arrive, and for one window after that: bytes can be held back on the way, and
 * then the work of several windows arrives in one. The accounts are kept by the endpoint's id, so that an endpoint that
 * leaves the list and returns has the same account. Times are microseconds of the router's clock.
 */
final class SlowStartLedger {
    /** How long the bytes of an attempt that was given up without an answer may stay on the way. */
    private static final long MAX_TIME_ON_THE_WAY = 3_000_000;

    /** Work that was sent in one attempt to one endpoint. */
    static final class Charge {
        private final long endpointId;
        private final long sentAt;
        private final double work;
        private boolean ended;
        private long latestArrival; // Set when the attempt has ended.

        private Charge(long endpointId, long sentAt, double work) {
            this.endpointId = endpointId;
            this.sentAt = sentAt;
            this.work = work;
        }
    }

    private static final class Account {
        final PriorityQueue<Charge> ended =
                new PriorityQueue<>(Comparator.comparingLong(charge -> charge.latestArrival));
        /** Those of the ended charges that may be on the way, in the order in which their attempts were given up. */
        final ArrayDeque<Charge> unconfirmed = new ArrayDeque<>();

        int charges;
        double work;
        long lastAnswerAt = Long.MIN_VALUE;

        void end(Charge charge, long latestArrival) {
            charge.ended = true;
            charge.latestArrival = latestArrival;
            ended.add(charge);
        }

        void remove(Charge charge) {
            charges--;
            work = charges == 0 ? 0 : work - charge.work;
        }

        void dropUntil(long windowStart) {
            while (!ended.isEmpty() && ended.peek().latestArrival <= windowStart) {
                Charge charge = ended.poll();
                unconfirmed.remove(charge);
                remove(charge);
            }
        }
    }

    private final Map<Long, Account> accounts = new HashMap<>();

    /** Charges an attempt that is sent now. */
    Charge charge(long endpointId, long now, double work) {
        Account account = accounts.computeIfAbsent(endpointId, id -> new Account());
        account.charges++;
        account.work += work;
        return new Charge(endpointId, now, work);
    }

    /**
     * Notes that the attempt of a charge was answered. The way to the endpoint is open: what was given up before has arrived
     * too, or never will.
     *
     * @param latestArrival the latest time at which the attempt may have arrived
     */
    void confirm(Charge charge, long now, long latestArrival) {
        if (charge.ended) {
            return;
        }
        Account account = accounts.get(charge.endpointId);
        account.lastAnswerAt = now;
        account.end(charge, latestArrival);
        for (Charge earlier : account.unconfirmed) {
            account.ended.remove(earlier);
            account.end(earlier, now);
        }
        account.unconfirmed.clear();
    }

    /**
     * Notes that the attempt of a charge was given up without an answer. Unless the endpoint has answered another one since
     * it was sent, its bytes may still be on the way.
     */
    void abandon(Charge charge, long now) {
        if (charge.ended) {
            return;
        }
        Account account = accounts.get(charge.endpointId);
        if (account.lastAnswerAt >= charge.sentAt) {
            account.end(charge, now);
            return;
        }
        account.end(charge, now + MAX_TIME_ON_THE_WAY);
        account.unconfirmed.add(charge);
    }

    /** Removes the charge of an attempt that did not reach the endpoint and never will. */
    void cancel(Charge charge) {
        if (!charge.ended) {
            charge.ended = true;
            accounts.get(charge.endpointId).remove(charge);
        }
    }

    /** Returns the work that counts, without that which arrived at {@code windowStart} or before. */
    double work(long endpointId, long windowStart) {
        Account account = accounts.get(endpointId);
        if (account == null) {
            return 0;
        }
        account.dropUntil(windowStart);
        return account.work;
    }

    /** Drops what arrived at {@code windowStart} or before from all accounts. */
    void expire(long windowStart) {
        accounts.values().removeIf(account -> {
            account.dropUntil(windowStart);
            return account.charges == 0;
        });
    }
}
