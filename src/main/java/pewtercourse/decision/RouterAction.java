package pewtercourse.decision;

/** What a router asks of its caller: the outputs of the decision module. */
public sealed interface RouterAction
        permits SendAttempt, CancelAttempt, RejectRequest, FailRequest, StartTimer, SendGossip, WatchEndpoints {
    /** Calls the visitor's method for this kind. */
    void accept(RouterActionVisitor visitor);
}
