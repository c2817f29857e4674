package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions of the batch in hand. */
final class ActionBuffer {
    private List<RouterAction> actions = new ArrayList<>();

    /** Starts a new batch; what a failed one left is dropped. */
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
