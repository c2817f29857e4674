package pewtercourse.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The simulated disk of a member. Saves are written in order; a crash loses those that are not synced. */
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

    /** Returns a copy of the synced state, like a backup of the folder. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk(incarnation, snapshot);
        copy.term = term;
        copy.commit = commit;
        copy.votedFor = votedFor;
        copy.entries.putAll(entries);
        return copy;
    }

    /** Writes a save without syncing it. */
    void write(Save save) {
        unsynced.add(save);
    }

    /** Syncs all written saves. Returns the number of the last one, or -1 if there was none. */
    long sync() {
        return sync(unsynced.size());
    }

    /** Loses the unsynced saves, except that the first {@code syncedCount} of them still reach the disk. */
    void crash(int syncedCount) {
        sync(Math.min(syncedCount, unsynced.size()));
        unsynced.clear();
    }

    private long sync(int count) {
        long lastNumber = -1;
        for (Save save : unsynced.subList(0, count)) {
            apply(save);
            lastNumber = save.number();
        }
        unsynced.subList(0, count).clear();
        return lastNumber;
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

    /** Replaces the entries up to a snapshot of the member's own state. False if the disk has a newer snapshot. */
    boolean compact(Snapshot newer) {
        if (newer.index() <= snapshot.index()) {
            return false;
        }
        snapshot = newer;
        entries.headMap(newer.index(), true).clear();
        return true;
    }

    /** Reads the synced state. */
    Saved read() {
        List<Entry> entriesAfterSnapshot =
                new ArrayList<>(entries.tailMap(snapshot.index(), false).values());
        return new Saved(incarnation, term, votedFor, commit, snapshot, entriesAfterSnapshot);
    }
}
