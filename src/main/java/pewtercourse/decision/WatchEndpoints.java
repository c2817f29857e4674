package pewtercourse.decision;

/** Asks for changes of the endpoint list from now on, where they do not come by themselves. */
public record WatchEndpoints() implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
