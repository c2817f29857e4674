package pewtercourse.decision;

/** What a router is told: the inputs of the decision module. */
public sealed interface RouterEvent
        permits SettingsChanged,
                EndpointsChanged,
                RequestArrived,
                AttemptFinished,
                QuotaChanged,
                StreamStarted,
                TimerFired,
                ContentPurged,
                GossipReceived,
                ClientDisconnected {
    /** Calls the visitor's method for this kind. */
    void accept(RouterEventVisitor visitor);
}
