package pewtercourse.decision;

/** An input of the decision module: something that has happened. */
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
    /** Calls the visitor's method for this kind of event. */
    void accept(RouterEventVisitor visitor);
}
