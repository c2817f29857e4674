package pewtercourse.decision;

/** Sends a gossip datagram to another router. */
public record SendGossip(int router, byte[] payload) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
