package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects the saves and messages of a member. A message that depends on unsaved state is deferred until the save that
 * contains this state has completed.
 */
final class Outbox {
    private static final int MAX_DEFERRED_MESSAGES = 1_024;
    private static final long NO_INDEX = Long.MAX_VALUE;

    private record DeferredMessage(long requiredSave, Ready.OutgoingMessage message) {}

    private record LogEnd(long saveNumber, long index, long term) {}

    private final RaftLog log;
    // The log ends of the saves that were taken and have not completed yet.
    private final Deque<LogEnd> pendingSaves = new ArrayDeque<>();
    private long lastTakenSave;
    private long lastCompletedSave;
    private long savedIndex;
    private long takenCommitIndex; // The commit index in the last save that was taken.
    // What the next save has to contain.
    private boolean hardStateUnsaved;
    private boolean commitIndexDue;
    private Snapshot unsavedSnapshot;
    private long firstUnsavedIndex = NO_INDEX;
    // Messages to send.
    private final Deque<DeferredMessage> deferredMessages = new ArrayDeque<>();
    private List<Ready.OutgoingMessage> messages = new ArrayList<>();

    /** Creates the outbox of a member whose log was read from disk, so that all entries are saved. */
    Outbox(RaftLog log) {
        this.log = log;
        this.savedIndex = log.lastIndex();
        this.takenCommitIndex = log.commitIndex();
    }

    // ---- Saves ----

    /** The index up to which the log is saved. */
    long savedIndex() {
        return savedIndex;
    }

    /** The term or the vote has changed. */
    void onHardStateChanged() {
        hardStateUnsaved = true;
    }

    /** An entry was appended to the log. */
    void onAppended(long index) {
        firstUnsavedIndex = Math.min(firstUnsavedIndex, index);
    }

    /** The entries from this index on were removed from the log. */
    void onTruncated(long fromIndex) {
        savedIndex = Math.min(savedIndex, fromIndex - 1);
        firstUnsavedIndex = Math.min(firstUnsavedIndex, fromIndex);
    }

    /** A snapshot of the leader has replaced the whole log. */
    void onLogReplaced(Snapshot snapshot) {
        savedIndex = snapshot.index(); // Replies that rely on it are deferred until the snapshot is saved.
        unsavedSnapshot = snapshot;
        firstUnsavedIndex = NO_INDEX;
    }

    /** A snapshot of this member's own state was written to disk. */
    void onCompacted(Snapshot snapshot) {
        savedIndex = Math.max(savedIndex, snapshot.index());
    }

    /**
     * Makes the next call of {@link #takeSave} save a higher commit index. The commit index alone does not cause a save
     * when it changes; it is saved with other state, or at the next tick.
     */
    void requestCommitIndexSave() {
        commitIndexDue |= log.commitIndex() > takenCommitIndex;
    }

    /** Returns the next save, or null if there is nothing to save. */
    Save takeSave(long term, String votedFor) {
        if (!hasUnsavedState() && !commitIndexDue) {
            return null;
        }
        lastTakenSave++;
        pendingSaves.add(new LogEnd(lastTakenSave, log.lastIndex(), log.lastTerm()));
        Save save = new Save(
                lastTakenSave, term, votedFor, log.commitIndex(), unsavedSnapshot, log.tail(firstUnsavedIndex));
        hardStateUnsaved = false;
        commitIndexDue = false;
        takenCommitIndex = log.commitIndex();
        unsavedSnapshot = null;
        firstUnsavedIndex = NO_INDEX;
        return save;
    }

    private boolean hasUnsavedState() {
        return hardStateUnsaved || unsavedSnapshot != null || firstUnsavedIndex <= log.lastIndex();
    }

    /** The save with this number and all earlier ones have completed. */
    void onSaved(long number) {
        lastCompletedSave = Math.max(lastCompletedSave, number);
        while (!pendingSaves.isEmpty() && pendingSaves.peek().saveNumber() <= lastCompletedSave) {
            LogEnd end = pendingSaves.poll();
            // The saved entries do not count if they were replaced in the log since then.
            if (end.index() > savedIndex && log.term(end.index()) == end.term()) {
                savedIndex = end.index();
            }
        }
        while (!deferredMessages.isEmpty() && deferredMessages.peek().requiredSave() <= lastCompletedSave) {
            messages.add(deferredMessages.poll().message());
        }
    }

    // ---- Messages ----

    /** Sends a message that does not depend on unsaved state. */
    void send(String to, Message message) {
        messages.add(new Ready.OutgoingMessage(to, message));
    }

    /** Sends a message that depends on the current state, as soon as this state is saved. */
    void sendAfterSave(String to, Message message) {
        long requiredSave = hasUnsavedState() ? lastTakenSave + 1 : lastTakenSave;
        if (requiredSave <= lastCompletedSave) {
            send(to, message);
            return;
        }
        deferredMessages.add(new DeferredMessage(requiredSave, new Ready.OutgoingMessage(to, message)));
        if (deferredMessages.size() > MAX_DEFERRED_MESSAGES) {
            deferredMessages.poll(); // Has the same effect as a message that the network loses.
        }
    }

    /** Returns the messages that can be sent now, and removes them here. */
    List<Ready.OutgoingMessage> takeMessages() {
        List<Ready.OutgoingMessage> taken = messages;
        messages = new ArrayList<>();
        return taken;
    }
}
