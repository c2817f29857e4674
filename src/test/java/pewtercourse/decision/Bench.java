package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import pewtercourse.decision.Router.Action;
import pewtercourse.decision.Router.Ending;
import pewtercourse.decision.Router.Event;
import pewtercourse.decision.Router.Member;
import pewtercourse.decision.Router.Note;
import pewtercourse.decision.Router.Role;
import pewtercourse.decision.Router.Send;
import pewtercourse.decision.Router.State;

/** A router with hand-fed events: four caches (1-4) in zone 0, two parents (11, 12), the origin (21). */
final class Bench {
    static final long MS = 1000;
    static final long START = 100_000 * MS;

    Router.Effect effect = Router.Effect.PURE;
    Router.Group group = Router.Group.ALL;
    long goodFor;
    boolean inParts;
    boolean parallel = true;
    boolean mayTell;
    boolean mayPassBy;
    boolean weightsTold = true;
    boolean pushed = true;
    Router.Notes notes = Router.Notes.ALL;
    double linkKbPerS;
    int routers = 2;
    int[] seats;
    int me;
    Logic logic;
    long now = START;
    long nextId = 1;

    Bench start(Member... members) {
        Router.RequestClass c = new Router.RequestClass(
                effect, group, 2000 * MS, 500 * MS, 1, 3000 * MS, false, goodFor, inParts, false);
        Router.Settings s = new Router.Settings(
                me,
                routers,
                0,
                seats != null ? seats : new int[] {routers},
                new Router.RequestClass[] {c},
                5000,
                linkKbPerS,
                true,
                mayPassBy,
                mayTell,
                parallel,
                true,
                2000 * MS,
                8,
                pushed,
                weightsTold,
                Router.Siblings.OWN_ZONE,
                notes,
                new Router.ColdRule(0.2, 18_000 * MS, 3),
                new Router.ColdRule(0.06, 20_000 * MS, 2),
                1500 * MS,
                6000 * MS);
        logic = new Logic(s, 7);
        feed(new Router.Listed(Router.ListKind.REMEMBERED, List.of(members)));
        return this;
    }

    static Member cache(long id) {
        return new Member(id, 0, Role.CACHE, (int) id % 2, State.READY, 8, 0);
    }

    static Member parent(long id) {
        return new Member(id, 5, Role.PARENT, 0, State.READY, 20, 0);
    }

    static final Member ORIGIN = new Member(21, 5, Role.ORIGIN, 0, State.READY, 10, 0);

    static Member[] all() {
        return new Member[] {cache(1), cache(2), cache(3), cache(4), parent(11), parent(12), ORIGIN};
    }

    static Member as(Member m, State state, long since) {
        return new Member(m.id(), m.zone(), m.role(), m.cell(), state, m.weight(), since);
    }

    List<Action> feed(Event... events) {
        return logic.handle(now, List.of(events));
    }

    Router.Request request(String object, int part) {
        return new Router.Request(nextId++, 0, object, part, 3, 500, now + 3000 * MS, false, false);
    }

    List<Action> ask(String object) {
        return feed(request(object, 0));
    }

    /** Asks and returns the one attempt that is made. */
    Send sent(String object) {
        return send(ask(object));
    }

    static Send send(List<Action> actions) {
        List<Send> sends = all(actions, Send.class);
        assertTrue(sends.size() == 1, "one attempt expected: " + actions);
        return sends.get(0);
    }

    static <T> List<T> all(List<Action> actions, Class<T> kind) {
        List<T> found = new ArrayList<>();
        for (Action a : actions) {
            if (kind.isInstance(a)) {
                found.add(kind.cast(a));
            }
        }
        return found;
    }

    List<Action> end(Send s, int attempt, Ending ending, Note note) {
        return feed(new Router.Outcome(s.id(), attempt, s.member(), ending, 20 * MS, ending == Ending.OK, note));
    }

    List<Action> ok(Send s, Note note) {
        now += 20 * MS;
        return end(s, 0, Ending.OK, note);
    }

    List<Action> sweep(long forward) {
        now += forward;
        return feed(new Router.TimerDue("sweep"));
    }
}
