package pewtercourse.raft;

import java.util.ArrayList;
import java.util.List;

/** The entries after the last snapshot, with how far they are committed and applied. */
final class RaftLog {
    /** The term of an index that the log doesn't reach. */
    static final long UNKNOWN_TERM = -1;

    private final ArrayList<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    // Of the entry before the first: the snapshot's last, or an older one while entries trail the snapshot.
    private long baseIndex;
    private long baseTerm;
    private long commitIndex;
    private long appliedIndex;

    /** {@code commitIndex}: as it was saved; it may lag behind the snapshot, or be ahead of the entries. */
    RaftLog(Snapshot snapshot, List<Entry> after, long commitIndex) {
        reset(snapshot);
        after.forEach(this::append);
        commitTo(commitIndex);
    }

    // ---- What it holds ----

    Snapshot snapshot() {
        return snapshot;
    }

    /** The first entry has the next index. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** {@link #UNKNOWN_TERM} where there is no such entry, or only the snapshot has it. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index > baseIndex && index <= lastIndex()) {
            return get(index).term();
        }
        return index == snapshot.index() ? snapshot.term() : UNKNOWN_TERM;
    }

    private Entry get(long index) {
        return entries.get(position(index));
    }

    private int position(long index) {
        return (int) (index - baseIndex - 1);
    }

    /** Whether the log can tell that it has this entry, or has committed past it. */
    boolean has(long index, long term) {
        return index <= commitIndex || term(index) == term;
    }

    /** Whether a log that ends so has everything that this one has committed (Raft, 5.4.1). */
    boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm > lastTerm() || otherLastTerm == lastTerm() && otherLastIndex >= lastIndex();
    }

    /** Entries of both bounds and those between, as far as the limits allow; one at least, if there is one. */
    List<Entry> slice(long from, long to, int maxEntries, int maxBytes) {
        List<Entry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = from; index <= Math.min(to, lastIndex()) && slice.size() < maxEntries; index++) {
            Entry entry = get(index);
            bytes += entry.size();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /** All entries from this index on that are not compacted away. */
    List<Entry> tail(long from) {
        return slice(Math.max(from, baseIndex + 1), lastIndex(), Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /** The last index, up to {@code index}, whose entry has no later term than {@code term}. */
    long lastIndexNotAfterTerm(long index, long term) {
        long candidate = Math.min(index, lastIndex());
        while (candidate > baseIndex && get(candidate).term() > term) {
            candidate--;
        }
        return candidate;
    }

    /** The membership as of the last entry that changes it, up to {@code index}. */
    Membership membersAt(long index) {
        long change = membershipIndex(index);
        return change == snapshot.index() ? snapshot.members() : get(change).members();
    }

    /** The index of that entry, or of the snapshot. */
    long membershipIndex(long upTo) {
        for (long index = Math.min(upTo, lastIndex()); index > Math.max(baseIndex, snapshot.index()); index--) {
            if (get(index).kind() == Entry.Kind.MEMBERS) {
                return index;
            }
        }
        return snapshot.index();
    }

    // ---- Changes ----

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
    }

    /** Removes this entry and all behind it. */
    void truncate(long from) {
        entries.subList(position(from), entries.size()).clear();
    }

    /** The snapshot stands for all up to its index from now on; {@code trailing} entries before that are kept. */
    void compact(Snapshot newer, int trailing) {
        long base = Math.max(baseIndex, newer.index() - trailing);
        long term = term(base);
        entries.subList(0, position(base) + 1).clear();
        baseIndex = base;
        baseTerm = term;
        snapshot = newer;
    }

    /** The snapshot stands for the whole log, and for what the state machine has applied. */
    void reset(Snapshot replacement) {
        entries.clear();
        snapshot = replacement;
        baseIndex = replacement.index();
        baseTerm = replacement.term();
        commitIndex = replacement.index();
        appliedIndex = replacement.index();
    }

    // ---- Committed and applied ----

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /** Never goes back, nor past the log's end. */
    void commitTo(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
    }

    /** Entries that are committed and not applied yet; they count as applied from now on. */
    List<Entry> takeCommitted() {
        List<Entry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            committed.add(get(appliedIndex));
        }
        return committed;
    }
}
