package pewtercourse.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A table keyed by hashes that evicts its least recently used entry once it is full. */
final class LruTable<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1L;
    /** Some minutes of one router's distinct objects. */
    private static final int MAX_ENTRIES = 20_000;

    LruTable() {
        super(256, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > MAX_ENTRIES;
    }
}
