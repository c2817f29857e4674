package pewtercourse.raft;

import java.util.ArrayList;
import java.util.List;

/** The entries after the last snapshot. */
final class RaftLog {
    private Snapshot snapshot;
    private long baseIndex, baseTerm; // Of the entry before the first: the snapshot's, or older while some trail it.
    private final ArrayList<Entry> entries = new ArrayList<>();

    RaftLog(Snapshot snapshot, List<Entry> after) {
        reset(snapshot);
        after.forEach(this::append);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** -1 where there is none or it is only in the snapshot. */
    long term(long index) {
        return index == baseIndex
                ? baseTerm
                : index > baseIndex && index <= lastIndex()
                        ? get(index).term()
                        : index == snapshot.index() ? snapshot.term() : -1;
    }

    Entry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(Entry e) {
        if (e.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + e.index() + " after " + lastIndex());
        }
        entries.add(e);
    }

    /** Takes out {@code from} and all behind it. */
    void truncate(long from) {
        entries.subList((int) (from - baseIndex - 1), entries.size()).clear();
    }

    /** From {@code from} to {@code to}, within these bounds; one entry at least, if there is one. */
    List<Entry> slice(long from, long to, int most, int bytesMost) {
        List<Entry> out = new ArrayList<>();
        int bytes = 0;
        for (long i = from; i <= Math.min(to, lastIndex()) && out.size() < most; i++) {
            Entry e = get(i);
            bytes += e.size();
            if (!out.isEmpty() && bytes > bytesMost) {
                break;
            }
            out.add(e);
        }
        return out;
    }

    /** The last index, no later than {@code index}, whose entry has no later term than {@code term}. */
    long lastNotAfter(long index, long term) {
        long i = Math.min(index, lastIndex());
        while (i > baseIndex && get(i).term() > term) {
            i--;
        }
        return i;
    }

    /** The snapshot stands for all up to its index from now on; {@code trailing} entries before that are kept. */
    void compact(Snapshot to, int trailing) {
        long base = Math.max(baseIndex, to.index() - trailing);
        long term = term(base);
        entries.subList(0, (int) (base - baseIndex)).clear();
        baseIndex = base;
        baseTerm = term;
        snapshot = to;
    }

    void reset(Snapshot to) {
        entries.clear();
        snapshot = to;
        baseIndex = to.index();
        baseTerm = to.term();
    }

    /** The membership as of the last entry that changes it, up to {@code index}. */
    Membership members(long index) {
        for (long i = Math.min(index, lastIndex()); i > Math.max(baseIndex, snapshot.index()); i--) {
            if (get(i).kind() == Entry.Kind.MEMBERS) {
                return get(i).members();
            }
        }
        return snapshot.members();
    }

    /** The index of that entry, or of the snapshot. */
    long membersIndex() {
        for (long i = lastIndex(); i > Math.max(baseIndex, snapshot.index()); i--) {
            if (get(i).kind() == Entry.Kind.MEMBERS) {
                return i;
            }
        }
        return snapshot.index();
    }
}
