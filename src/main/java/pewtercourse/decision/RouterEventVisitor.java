package pewtercourse.decision;

/** Handles each kind of {@link RouterEvent}. */
public interface RouterEventVisitor {
    void visit(SettingsChanged event);

    void visit(EndpointsChanged event);

    void visit(RequestArrived event);

    void visit(AttemptFinished event);

    void visit(QuotaChanged event);

    void visit(StreamStarted event);

    void visit(TimerFired event);

    void visit(ContentPurged event);

    void visit(GossipReceived event);

    void visit(ClientDisconnected event);
}
