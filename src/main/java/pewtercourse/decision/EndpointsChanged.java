package pewtercourse.decision;

import java.util.List;

/** A list of endpoints, or changes of it. */
public record EndpointsChanged(EndpointUpdateKind kind, List<Endpoint> endpoints) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
