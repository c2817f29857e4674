package pewtercourse.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** What one member has on its disk. Saves reach it in order; those that are not synced are lost at a crash. */
final class SimulatedDisk {
    private final long incarnation;
    private long term;
    private long commit;
    private String votedFor;
    private Snapshot snapshot;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final List<Save> unsynced = new ArrayList<>();

    SimulatedDisk(long incarnation, Snapshot snapshot) {
        this.incarnation = incarnation;
        this.snapshot = snapshot;
    }

    /** A copy of what is synced, as a backup of the folder has it. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk(incarnation, snapshot);
        copy.term = term;
        copy.commit = commit;
        copy.votedFor = votedFor;
        copy.entries.putAll(entries);
        return copy;
    }

    void write(Save save) {
        unsynced.add(save);
    }

    /** Syncs all that was written. Returns the number of the last save, or -1 if there was none. */
    long sync() {
        return sync(unsynced.size());
    }

    /** Only the first of the unsynced saves reach the disk. */
    void crash(int synced) {
        sync(Math.min(synced, unsynced.size()));
        unsynced.clear();
    }

    private long sync(int count) {
        long last = -1;
        for (Save save : unsynced.subList(0, count)) {
            apply(save);
            last = save.seq();
        }
        unsynced.subList(0, count).clear();
        return last;
    }

    private void apply(Save save) {
        term = save.term();
        votedFor = save.votedFor();
        commit = Math.max(commit, save.commit());
        if (save.snapshot() != null) {
            snapshot = save.snapshot();
            entries.clear();
        }
        for (Entry entry : save.entries()) {
            entries.tailMap(entry.index(), true).clear();
            entries.put(entry.index(), entry);
        }
    }

    /** A snapshot of the member's own state replaces the entries before it. False if a newer one is there. */
    boolean compact(Snapshot newer) {
        if (newer.index() <= snapshot.index()) {
            return false;
        }
        snapshot = newer;
        entries.headMap(newer.index(), true).clear();
        return true;
    }

    Saved read() {
        List<Entry> after =
                new ArrayList<>(entries.tailMap(snapshot.index(), false).values());
        return new Saved(incarnation, term, votedFor, commit, snapshot, after);
    }
}
