package pewtercourse.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log in memory: the last snapshot, the entries after it, the commit index and the index of the last applied entry.
 */
final class RaftLog {
    /** The term of an index that is not in the log. */
    static final long UNKNOWN_TERM = -1;

    private final ArrayList<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    // Index and term of the entry before the first one in memory. It is the snapshot's last entry, or an older
    // one while trailing entries before the snapshot's index are retained.
    private long baseIndex;
    private long baseTerm;
    private long commitIndex;
    private long appliedIndex;

    /**
     * Restores the log.
     *
     * @param commitIndex the saved commit index, which may be lower than the snapshot's index or higher than that of
     *     the last entry
     */
    RaftLog(Snapshot snapshot, List<Entry> entriesAfterSnapshot, long commitIndex) {
        reset(snapshot);
        entriesAfterSnapshot.forEach(this::append);
        commitTo(commitIndex);
    }

    // ---- Contents ----

    Snapshot snapshot() {
        return snapshot;
    }

    /** The index before that of the first entry in memory. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /**
     * The term of an entry; {@link #UNKNOWN_TERM} after the end of the log and for entries that were compacted away.
     */
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
        return entries.get(listPosition(index));
    }

    private int listPosition(long index) {
        return (int) (index - baseIndex - 1);
    }

    /** Whether the log is known to contain this entry: its term matches, or the index is committed already. */
    boolean isKnownToContain(long index, long term) {
        return index <= commitIndex || term(index) == term;
    }

    /** Whether a log with this last entry is at least as up to date as this one (Raft, 5.4.1). */
    boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm > lastTerm() || otherLastTerm == lastTerm() && otherLastIndex >= lastIndex();
    }

    /**
     * Returns the entries from {@code firstIndex} to {@code endIndex}, both included, as far as the limits allow. The
     * first entry is returned even if it exceeds {@code maxBytes}.
     */
    List<Entry> slice(long firstIndex, long endIndex, int maxEntries, int maxBytes) {
        List<Entry> slice = new ArrayList<>();
        int sliceBytes = 0;
        for (long index = firstIndex; index <= Math.min(endIndex, lastIndex()) && slice.size() < maxEntries; index++) {
            Entry entry = get(index);
            sliceBytes += entry.approximateBytes();
            if (!slice.isEmpty() && sliceBytes > maxBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /** Returns all entries from this index on that were not compacted away. */
    List<Entry> tail(long firstIndex) {
        return slice(Math.max(firstIndex, baseIndex + 1), lastIndex(), Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /** Returns the highest index, at most {@code index}, whose entry has a term of at most {@code term}. */
    long lastIndexNotAfterTerm(long index, long term) {
        long candidate = Math.min(index, lastIndex());
        while (candidate > baseIndex && get(candidate).term() > term) {
            candidate--;
        }
        return candidate;
    }

    /** Returns the membership that is in effect at {@code index}: that of the last change up to there. */
    Membership membersAt(long index) {
        long changeIndex = membershipIndex(index);
        return changeIndex == snapshot.index()
                ? snapshot.members()
                : get(changeIndex).members();
    }

    /**
     * Returns the index of the last entry up to {@code endIndex} that changes the membership, or the snapshot's index.
     */
    long membershipIndex(long endIndex) {
        for (long index = Math.min(endIndex, lastIndex()); index > Math.max(baseIndex, snapshot.index()); index--) {
            if (get(index).kind() == Entry.Kind.MEMBERS) {
                return index;
            }
        }
        return snapshot.index();
    }

    // ---- Changes ----

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry " + entry.index() + " can't follow the last entry " + lastIndex());
        }
        entries.add(entry);
    }

    /** Removes the entries from this index on. */
    void truncate(long fromIndex) {
        entries.subList(listPosition(fromIndex), entries.size()).clear();
    }

    /**
     * Replaces the entries up to the snapshot's index by the snapshot, but retains the last {@code trailingEntries}
     * entries of them.
     */
    void compact(Snapshot newer, int trailingEntries) {
        long newBaseIndex = Math.max(baseIndex, newer.index() - trailingEntries);
        long newBaseTerm = term(newBaseIndex);
        entries.subList(0, listPosition(newBaseIndex) + 1).clear();
        baseIndex = newBaseIndex;
        baseTerm = newBaseTerm;
        snapshot = newer;
    }

    /** Replaces the whole log by a snapshot; its entries count as committed and applied. */
    void reset(Snapshot replacement) {
        entries.clear();
        snapshot = replacement;
        baseIndex = replacement.index();
        baseTerm = replacement.term();
        commitIndex = replacement.index();
        appliedIndex = replacement.index();
    }

    // ---- Committed and applied entries ----

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /** Raises the commit index to {@code index}, but not beyond the end of the log. Never lowers it. */
    void commitTo(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
    }

    /** Returns the committed entries that were not applied yet, and marks them as applied. */
    List<Entry> takeCommitted() {
        List<Entry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            committed.add(get(appliedIndex));
        }
        return committed;
    }
}
