package pewtercourse.decision;

import java.util.List;

/** The endpoint list, or changes to it. */
public record EndpointsChanged(EndpointUpdateKind kind, List<Endpoint> endpoints) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
