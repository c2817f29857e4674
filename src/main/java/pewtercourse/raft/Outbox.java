package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What a member has to save and what it has to send. A message that relies on something unsaved is held back until the
 * save that has it is done.
 */
final class Outbox {
    private static final int HELD_MOST = 1_024;
    private static final long NONE = Long.MAX_VALUE;

    private record Held(long afterSave, Ready.Addressed message) {}

    private record SaveEnd(long number, long index, long term) {}

    private final RaftLog log;
    private final Deque<SaveEnd> saves = new ArrayDeque<>();
    private final Deque<Held> held = new ArrayDeque<>();
    private List<Ready.Addressed> messages = new ArrayList<>();
    private boolean stateUnsaved, commitDue;
    private long savedCommit; // What the disk was last told to be agreed.
    private Snapshot unsavedSnapshot;
    private long unsavedFrom = NONE; // The first entry that is not saved.
    private long savedIndex, lastSave, lastSaveDone;

    /** All entries of the log are saved. */
    Outbox(RaftLog log, long commit) {
        this.log = log;
        this.savedIndex = log.lastIndex();
        this.savedCommit = commit;
    }

    /** The last entry that is saved, with all before it. */
    long savedIndex() {
        return savedIndex;
    }

    /** The term or the vote is another one. */
    void stateChanged() {
        stateUnsaved = true;
    }

    void appended(long index) {
        unsavedFrom = Math.min(unsavedFrom, index);
    }

    /** This entry and all behind it were taken out of the log. */
    void truncated(long from) {
        savedIndex = Math.min(savedIndex, from - 1);
        unsavedFrom = Math.min(unsavedFrom, from);
    }

    /** A snapshot from the leader stands for the whole log. */
    void replaced(Snapshot snapshot) {
        savedIndex = snapshot.index(); // Only said once the save that has it is done.
        unsavedSnapshot = snapshot;
        unsavedFrom = NONE;
    }

    /** A snapshot of this member's own is on disk. */
    void compacted(Snapshot snapshot) {
        savedIndex = Math.max(savedIndex, snapshot.index());
    }

    /** A higher commit index is by itself no reason to write at once: it is saved after some time, or with the next save. */
    void saveCommitLater(long commit) {
        commitDue |= commit > savedCommit;
    }

    /** What is to be saved now, or null. */
    Save takeSave(long term, String votedFor, long commit) {
        if (!unsaved() && !commitDue) {
            return null;
        }
        List<Entry> entries = unsavedFrom > log.lastIndex()
                ? List.of()
                : log.slice(
                        Math.max(unsavedFrom, log.baseIndex() + 1),
                        log.lastIndex(),
                        Integer.MAX_VALUE,
                        Integer.MAX_VALUE);
        Save save = new Save(++lastSave, term, votedFor, commit, unsavedSnapshot, entries);
        saves.add(new SaveEnd(lastSave, log.lastIndex(), log.lastTerm()));
        stateUnsaved = false;
        commitDue = false;
        savedCommit = commit;
        unsavedSnapshot = null;
        unsavedFrom = NONE;
        return save;
    }

    private boolean unsaved() {
        return stateUnsaved || unsavedSnapshot != null || unsavedFrom <= log.lastIndex();
    }

    /** The save with this number, and all before it, are on disk. */
    void saved(long number) {
        lastSaveDone = Math.max(lastSaveDone, number);
        while (!saves.isEmpty() && saves.peek().number() <= lastSaveDone) {
            SaveEnd end = saves.poll();
            // What was replaced since then was saved for nothing.
            if (end.index() > savedIndex && log.term(end.index()) == end.term()) {
                savedIndex = end.index();
            }
        }
        while (!held.isEmpty() && held.peek().afterSave() <= lastSaveDone) {
            messages.add(held.poll().message());
        }
    }

    void send(String to, Message message) {
        messages.add(new Ready.Addressed(to, message));
    }

    /** For a message that promises, or tells of, something that may not be on disk yet. */
    void sendAfterSave(String to, Message message) {
        long afterSave = unsaved() ? lastSave + 1 : lastSave;
        if (afterSave <= lastSaveDone) {
            send(to, message);
            return;
        }
        held.add(new Held(afterSave, new Ready.Addressed(to, message)));
        if (held.size() > HELD_MOST) {
            held.poll(); // As good as lost on the way.
        }
    }

    List<Ready.Addressed> takeMessages() {
        List<Ready.Addressed> taken = messages;
        messages = new ArrayList<>();
        return taken;
    }
}
