package pewtercourse.decision;

import java.util.List;

/**
 * The interface of the decision module: what a router is told at its start ({@link Settings}), what it hears
 * ({@link Event}) and what it orders ({@link Action}). Times are whole microseconds of the caller's clock.
 */
public interface Router {
    /** Handles events in the order in which they came; all of them happen at {@code now}. */
    List<Action> handle(long now, List<Event> events);

    /** {@code avoided}: listed members that it leaves alone for now; {@code coldShort}: of late a cold one had no room. */
    record Insight(int avoided, boolean coldShort) {}

    Insight insight();

    /** What a repeat of a request does: nothing, nothing where its token is remembered, or its effect once more. */
    enum Effect {
        PURE,
        TOKEN,
        SIDE_EFFECT
    }

    /** Which caches drop the repeats of a tokened request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** What a member of the list is for. */
    enum Role {
        CACHE,
        PARENT,
        ORIGIN
    }

    /** Where a member is in its life, as the list tells. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** From which caches of its kind a cache may be filled. */
    enum Siblings {
        NONE,
        OWN_ZONE,
        ANY
    }

    /** How much an outcome tells of where its answer came from. */
    enum Notes {
        NONE,
        HITS,
        ALL
    }

    /** How a list is to be read: as changes, as the whole list, as one that was kept, or as a failed call. */
    enum ListKind {
        CHANGES,
        WHOLE,
        REMEMBERED,
        FAILED
    }

    /** How an attempt ended; FULL, CONNECT_FAILED, MOOT and MISS prove that nothing ran. */
    enum Ending {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        MISS
    }

    /** Where an answer came from, or why it was not filled. */
    enum Note {
        NONE,
        HIT,
        FILLED,
        FILLED_FROM_ORIGIN,
        JOINED,
        STALE,
        SOURCE_REFUSED,
        SOURCE_FAILED,
        SOURCE_LACKS,
        NO_FILL_PLACE,
        ORIGIN_FAILED
    }

    /** One class of requests. {@code goodFor} 0: a copy is fresh until it is purged. */
    record RequestClass(
            Effect effect,
            Group group,
            long memorySpan,
            long aim,
            double aimStretch,
            long deadline,
            boolean stream,
            long goodFor,
            boolean inParts,
            boolean goesThrough) {}

    /** The rule figures for members that have just started: caches or parents. */
    record ColdRule(double from, long warmsIn, double multiple) {}

    /**
     * {@code seats}: routers in each zone. {@code linkKbPerS}: what the own zone's link for fills carries, 0 if
     * not told. {@code weightsTold}: weights are sizes, and lasting ones.
     */
    record Settings(
            int me,
            int routers,
            int zone,
            int[] seats,
            RequestClass[] classes,
            double clientKbPerS,
            double linkKbPerS,
            boolean canJoin,
            boolean mayPassBy,
            boolean mayTell,
            boolean parallelTries,
            boolean mayCancel,
            long maxRetryAfter,
            int tryLimit,
            boolean pushedLists,
            boolean weightsTold,
            Siblings siblings,
            Notes notes,
            ColdRule coldCache,
            ColdRule coldParent,
            long tipAfter,
            long purgeTakes) {
        /** The same with these classes. */
        public Settings with(RequestClass[] others) {
            return new Settings(
                    me,
                    routers,
                    zone,
                    seats,
                    others,
                    clientKbPerS,
                    linkKbPerS,
                    canJoin,
                    mayPassBy,
                    mayTell,
                    parallelTries,
                    mayCancel,
                    maxRetryAfter,
                    tryLimit,
                    pushedLists,
                    weightsTold,
                    siblings,
                    notes,
                    coldCache,
                    coldParent,
                    tipAfter,
                    purgeTakes);
        }

        /**
         * For a router that sends guests to the caches of another zone: what its link carries is not known, and it tells
         * the other routers nothing.
         */
        public Settings guest(int other, RequestClass[] others) {
            return new Settings(
                    me,
                    routers,
                    other,
                    seats,
                    others,
                    clientKbPerS,
                    0,
                    canJoin,
                    mayPassBy,
                    false,
                    parallelTries,
                    mayCancel,
                    maxRetryAfter,
                    tryLimit,
                    pushedLists,
                    weightsTold,
                    siblings,
                    notes,
                    coldCache,
                    coldParent,
                    tipAfter,
                    purgeTakes);
        }
    }

    /** A line of the list. {@code since}: time of its last start, 0 for long ago. */
    record Member(long id, int zone, Role role, int cell, State state, double weight, long since) {}

    /** What the module hears. */
    sealed interface Event {}

    /** New settings: a class keeps its place, so that what is under way keeps its class. */
    record Reconfigured(Settings settings) implements Event {}

    /** A list of members, or changes of it. */
    record Listed(ListKind kind, List<Member> members) implements Event {}

    /** {@code sizeKb} 0: not told. {@code repeat}: the client marked it as its own retry. */
    record Request(
            long id,
            int cls,
            String object,
            int part,
            int group,
            double sizeKb,
            long expires,
            boolean repeat,
            boolean write)
            implements Event {}

    /** The end of one attempt. {@code last}: its client has its answer, or has gone. */
    record Outcome(long id, int attempt, long member, Ending ending, long latency, boolean last, Note note)
            implements Event {}

    /** What the routers have agreed of the room at cold members: this one's part, as a factor on an equal part. */
    record Parted(double factor) implements Event {}

    /** The first bytes of an answer are on their way to the client. */
    record StreamBegun(long id, int attempt) implements Event {}

    /** The time of a {@link Timer} has come. */
    record TimerDue(String name) implements Event {}

    /** {@code object} null: every object of the group. */
    record Purged(String object, int group, long age) implements Event {}

    /** A datagram from another router. */
    record PeerMessage(int from, byte[] bytes) implements Event {}

    /** The client has closed its connection or withdrawn its request. */
    record ClientGone(long id) implements Event {}

    /** What the module orders. */
    sealed interface Action {}

    /**
     * An attempt at a member. {@code source}: where a miss is filled from, the member itself for no fill.
     * {@code timeout} 0: until the client gives up. {@code keep} 0: pass through, 1 to 3: rank of the copy.
     * {@code maxAge} 0: as long as the class's copies are fresh.
     */
    record Send(
            long id,
            long member,
            long timeout,
            long source,
            int keep,
            long maxAge,
            boolean join,
            boolean sourceHoldsOnly,
            boolean renew)
            implements Action {}

    /** Gives up one attempt; its outcome is told as for every other. */
    record Cancel(long id, int attempt) implements Action {}

    /** {@code holdOff} 0: no advice when to come again. */
    record Refuse(long id, long holdOff) implements Action {}

    /** The final answer to a request that may have run and was not served. */
    record Fail(long id) implements Action {}

    /** Asks for a {@link TimerDue} of this name at this time. */
    record Timer(String name, long at) implements Action {}

    /** A datagram to another router. */
    record Tell(int router, byte[] bytes) implements Action {}

    /** Asks for changes of the list from now on, where they do not come by themselves. */
    record Watch() implements Action {}
}
