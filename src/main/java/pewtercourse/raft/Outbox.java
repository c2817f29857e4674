package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What a member has to save and to send. A message that relies on something unsaved is held back until the save that
 * has it is done.
 */
final class Outbox {
    private static final int MAX_HELD_MESSAGES = 1_024;
    private static final long NO_INDEX = Long.MAX_VALUE;

    private record HeldMessage(long afterSave, Ready.OutgoingMessage message) {}

    private record LogEnd(long saveNumber, long index, long term) {}

    private final RaftLog log;
    // What was handed out to be saved and is not done yet.
    private final Deque<LogEnd> pendingSaves = new ArrayDeque<>();
    private long lastSave;
    private long lastSaveDone;
    private long savedIndex;
    private long savedCommit; // As of the last save that was handed out.
    // What the next save has to have.
    private boolean stateUnsaved;
    private boolean commitDue;
    private Snapshot unsavedSnapshot;
    private long unsavedFrom = NO_INDEX;
    // What is to be sent.
    private final Deque<HeldMessage> held = new ArrayDeque<>();
    private List<Ready.OutgoingMessage> messages = new ArrayList<>();

    /** All entries of the log are saved. */
    Outbox(RaftLog log) {
        this.log = log;
        this.savedIndex = log.lastIndex();
        this.savedCommit = log.commitIndex();
    }

    // ---- What is to be saved ----

    /** The last entry that is saved, with all before it. */
    long savedIndex() {
        return savedIndex;
    }

    /** The term or the vote has changed. */
    void stateChanged() {
        stateUnsaved = true;
    }

    void appended(long index) {
        unsavedFrom = Math.min(unsavedFrom, index);
    }

    /** This entry and all behind it were removed from the log. */
    void truncated(long from) {
        savedIndex = Math.min(savedIndex, from - 1);
        unsavedFrom = Math.min(unsavedFrom, from);
    }

    /** A snapshot from the leader stands for the whole log. */
    void replaced(Snapshot snapshot) {
        savedIndex = snapshot.index(); // Told to others only once the save that has it is done.
        unsavedSnapshot = snapshot;
        unsavedFrom = NO_INDEX;
    }

    /** A snapshot of this member's own state is on disk. */
    void compacted(Snapshot snapshot) {
        savedIndex = Math.max(savedIndex, snapshot.index());
    }

    /** A higher commit index is by itself no reason to write at once: it is saved after some time, or with the next save. */
    void saveCommitLater() {
        commitDue |= log.commitIndex() > savedCommit;
    }

    /** What is to be saved now, or null. */
    Save takeSave(long term, String votedFor) {
        if (!isUnsaved() && !commitDue) {
            return null;
        }
        lastSave++;
        pendingSaves.add(new LogEnd(lastSave, log.lastIndex(), log.lastTerm()));
        Save save = new Save(lastSave, term, votedFor, log.commitIndex(), unsavedSnapshot, log.tail(unsavedFrom));
        stateUnsaved = false;
        commitDue = false;
        savedCommit = log.commitIndex();
        unsavedSnapshot = null;
        unsavedFrom = NO_INDEX;
        return save;
    }

    private boolean isUnsaved() {
        return stateUnsaved || unsavedSnapshot != null || unsavedFrom <= log.lastIndex();
    }

    /** The save with this number, and all before it, are on disk. */
    void saved(long number) {
        lastSaveDone = Math.max(lastSaveDone, number);
        while (!pendingSaves.isEmpty() && pendingSaves.peek().saveNumber() <= lastSaveDone) {
            LogEnd end = pendingSaves.poll();
            // An end that was replaced since then was saved for nothing.
            if (end.index() > savedIndex && log.term(end.index()) == end.term()) {
                savedIndex = end.index();
            }
        }
        while (!held.isEmpty() && held.peek().afterSave() <= lastSaveDone) {
            messages.add(held.poll().message());
        }
    }

    // ---- What is to be sent ----

    void send(String to, Message message) {
        messages.add(new Ready.OutgoingMessage(to, message));
    }

    /** For a message that promises, or tells of, something that may not be on disk yet. */
    void sendAfterSave(String to, Message message) {
        long afterSave = isUnsaved() ? lastSave + 1 : lastSave;
        if (afterSave <= lastSaveDone) {
            send(to, message);
            return;
        }
        held.add(new HeldMessage(afterSave, new Ready.OutgoingMessage(to, message)));
        if (held.size() > MAX_HELD_MESSAGES) {
            held.poll(); // As if the network had lost it.
        }
    }

    List<Ready.OutgoingMessage> takeMessages() {
        List<Ready.OutgoingMessage> taken = messages;
        messages = new ArrayList<>();
        return taken;
    }
}
