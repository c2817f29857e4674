package pewtercourse.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A table keyed by hashes. A full table evicts its least recently used entry. */
final class LruTable<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1L;
    /** Holds the distinct objects that one router sees in a few minutes. */
    private static final int MAX_ENTRIES = 20_000;

    LruTable() {
        super(256, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > MAX_ENTRIES;
    }
}
