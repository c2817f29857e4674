package pewtercourse.decision;

/** Handles each kind of {@link RouterAction}. */
public interface RouterActionVisitor {
    void visit(SendAttempt action);

    void visit(CancelAttempt action);

    void visit(RejectRequest action);

    void visit(FailRequest action);

    void visit(StartTimer action);

    void visit(SendGossip action);

    void visit(WatchEndpoints action);
}
