package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions of the current batch. */
final class ActionBuffer {
    private List<RouterAction> actions = new ArrayList<>();

    /** Starts a new batch and drops actions left over from a failed one. */
    void begin() {
        actions = new ArrayList<>();
    }

    void add(RouterAction action) {
        actions.add(action);
    }

    List<RouterAction> actions() {
        return actions;
    }
}
