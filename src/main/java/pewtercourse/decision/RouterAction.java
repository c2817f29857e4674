package pewtercourse.decision;

/** An output of the decision module: something that a router requests from its caller. */
public sealed interface RouterAction
        permits SendAttempt, CancelAttempt, RejectRequest, FailRequest, StartTimer, SendGossip, WatchEndpoints {
    /** Calls the visitor's method for this kind of action. */
    void accept(RouterActionVisitor visitor);
}
