package pewtercourse.decision;

/** A gossip datagram was received from another router. */
public record GossipReceived(int router, byte[] payload) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
