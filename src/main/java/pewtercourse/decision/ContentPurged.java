package pewtercourse.decision;

/**
 * Content was purged {@code age} microseconds ago.
 *
 * @param object name of the purged object; null for all objects of the group
 */
public record ContentPurged(String object, int purgeGroup, long age) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
