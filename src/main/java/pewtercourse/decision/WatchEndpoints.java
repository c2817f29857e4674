package pewtercourse.decision;

/** Requests changes of the endpoint list from now on, if they are not pushed. */
public record WatchEndpoints() implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
