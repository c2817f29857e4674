package pewtercourse.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.wire.LeaseWire;
import pewtercourse.raft.wire.Wire;

/** One member of a {@link TracedGroup}: its disk, its Raft instance and its copy of the lease state machine. */
final class TracedMember {
    private static final int ENTRIES_BETWEEN_STATE_TRACES = 16;

    final String name;
    private final long clockOffset;
    private final Trace trace;
    private SimulatedDisk disk;
    private SimulatedDisk backup;
    private Raft raft;
    private ClusterState state = new ClusterState();
    private long appliedIndex;
    private int startCount;
    private boolean firstReadyPending; // Whether the state recovered at the start was not taken yet.

    TracedMember(String name, long clockOffset, SimulatedDisk disk, Trace trace) {
        this.name = name;
        this.clockOffset = clockOffset;
        this.disk = disk;
        this.trace = trace;
    }

    // ---- Start and crash ----

    boolean isUp() {
        return raft != null;
    }

    /** The number of starts so far; an event that was scheduled before the last start is dropped. */
    int startCount() {
        return startCount;
    }

    void start(long now, long seed) {
        startCount++;
        firstReadyPending = true;
        Saved saved = disk.read();
        appliedIndex = saved.snapshot().index();
        state = new ClusterState();
        raft = new Raft(TracedGroup.SETTINGS, name, saved, clock(now), new Random(seed));
        trace.line("start", name, saved.incarnation());
    }

    /** Stops the member; the first {@code syncedCount} unsynced saves still reach the disk. */
    void crash(int syncedCount) {
        disk.crash(syncedCount);
        raft = null;
        trace.line("crash", name);
    }

    /** Replaces the folder by an empty one with another incarnation. */
    void loseFolder(long incarnation) {
        disk = new SimulatedDisk(incarnation, Snapshot.EMPTY);
        backup = null;
    }

    void backUpFolder() {
        backup = disk.copy();
    }

    /** Replaces the folder by its last backup; returns false if there is none. */
    boolean restoreFolder() {
        if (backup != null) {
            disk = backup.copy();
        }
        return backup != null;
    }

    // ---- Inputs ----

    long clock(long now) {
        return now + clockOffset;
    }

    void tick(long now) {
        raft.tick(clock(now));
    }

    boolean isTickDue(long now) {
        return clock(now) >= raft.wakeAt();
    }

    void receive(long now, String from, long incarnation, byte[] frame) {
        try {
            raft.receive(
                    clock(now),
                    from,
                    incarnation,
                    Codec.decode(Wire.Frame.parseFrom(frame)).orElseThrow());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    void sync(long now) {
        long lastNumber = disk.sync();
        if (lastNumber >= 0) {
            raft.saved(clock(now), lastNumber);
        }
    }

    void compact(Snapshot snapshot) {
        if (disk.compact(snapshot)) {
            raft.compacted(snapshot);
        }
    }

    /** Takes a snapshot; null if fewer than {@code minEntries} entries were applied since the last one. */
    Snapshot takeSnapshotAfter(int minEntries) {
        return appliedIndex - raft.snapshotIndex() < minEntries ? null : raft.snapshotAt(appliedIndex, state.encode());
    }

    void propose(long now, byte[] command) {
        traceProposal("propose", raft.propose(clock(now), command));
    }

    void addMember(long now, String other, String address, long incarnation) {
        traceProposal("add", raft.addMember(clock(now), other, address, incarnation));
    }

    void removeMember(long now, String other) {
        traceProposal("remove", raft.removeMember(clock(now), other));
    }

    private void traceProposal(String tag, Raft.ProposalResult result) {
        trace.line(tag, name, result.index(), result.term(), rejectionNumber(result.rejection()));
    }

    void read(long now, long id) {
        trace.line("read", name, id, rejectionNumber(raft.read(clock(now), id)));
    }

    void transfer(long now, String target) {
        trace.line("transfer", name, target, rejectionNumber(raft.transferLeadership(clock(now), target)));
    }

    /** The number of a rejection in the trace; -1 if the request was accepted. */
    private int rejectionNumber(Raft.Rejection rejection) {
        int number = rejection == null ? -1 : rejection.ordinal();
        trace.count("rejection " + number);
        return number;
    }

    // ---- Status ----

    boolean isLeader() {
        return isUp() && raft.role() == Raft.Role.LEADER;
    }

    String bestTransferTarget(long now) {
        return raft.bestTransferCandidate(clock(now)).orElse(null);
    }

    Membership members() {
        return raft.members();
    }

    long incarnation() {
        return raft.incarnation();
    }

    /** Whether all members are voters, lack only a few entries and have not lost saved entries. */
    boolean isGroupHealthy() {
        return members().all().values().stream().allMatch(Membership.Member::voter)
                && raft.lag().values().stream().allMatch(missing -> missing < 10)
                && raft.membersWithLostLog().isEmpty();
    }

    LeaseWire.Snapshot encodedState() {
        try {
            return LeaseWire.Snapshot.parseFrom(state.encode());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Outputs ----

    /** Carries out what Raft requests and returns the messages to send. */
    List<Ready.OutgoingMessage> carryOutReady(TracedGroup group) {
        Ready ready = raft.take();
        if (ready.save() != null) {
            save(ready.save());
            group.scheduleSync(this);
        }
        ready.messages().forEach(this::traceMessage);
        if (ready.snapshot() != null) {
            restore(ready.snapshot());
        }
        firstReadyPending = false;
        for (Entry entry : ready.committed()) {
            apply(entry);
            group.onCommitted(entry.index(), Codec.encode(entry).toByteArray());
        }
        for (Ready.ReadResult read : ready.reads()) {
            trace.line("r", name, read.id(), read.index(), read.confirmed());
            trace.count("read " + read.confirmed());
        }
        return ready.messages();
    }

    private void save(Save save) {
        disk.write(save);
        trace.line("v", name, save.number(), save.term(), save.votedFor(), save.commit());
        if (save.snapshot() != null) {
            traceSnapshot("vs", save.snapshot());
        }
        save.entries().forEach(entry -> trace.line("ve", Codec.encode(entry).toByteArray()));
        trace.count("save");
    }

    private void traceMessage(Ready.OutgoingMessage sent) {
        Wire.Frame frame = Codec.encode(sent.message());
        trace.line("m", name, sent.to(), frame.toByteArray());
        trace.count("message " + frame.getBodyCase().getNumber());
        if (frame.hasInstall() && frame.getInstall().getOffset() > 0) {
            trace.count("later snapshot chunk");
        }
    }

    private void restore(Snapshot snapshot) {
        traceSnapshot("i", snapshot);
        trace.count(firstReadyPending ? "restore at start" : "restore from leader");
        appliedIndex = snapshot.index();
        try {
            state = ClusterState.decode(snapshot.state());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private void traceSnapshot(String tag, Snapshot snapshot) {
        trace.line(
                tag,
                name,
                snapshot.index(),
                snapshot.term(),
                Codec.encode(snapshot.members()).toByteArray(),
                snapshot.state());
    }

    private void apply(Entry entry) {
        if (entry.index() != ++appliedIndex) {
            throw new AssertionError("entry " + entry.index() + " committed instead of entry " + appliedIndex);
        }
        boolean accepted = entry.command().length > 0 && applyCommand(entry.index(), entry.command());
        trace.line("c", name, Codec.encode(entry).toByteArray(), accepted);
        trace.count("command " + accepted);
        if (entry.index() % ENTRIES_BETWEEN_STATE_TRACES == 0) {
            trace.line("cs", name, state.encode());
        }
    }

    private boolean applyCommand(long index, byte[] command) {
        try {
            return state.apply(index, CommandCodec.decode(command)).isApplied();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Traces the results of all status methods of {@link Raft}. */
    void traceStatus(long now) {
        trace.line(
                "s",
                name,
                raft.role().ordinal(),
                raft.term(),
                raft.leader(),
                raft.commitIndex(),
                raft.lastIndex(),
                raft.snapshotIndex(),
                raft.wakeAt(),
                raft.isNonMember(),
                bestTransferTarget(now),
                Codec.encode(raft.members()).toByteArray(),
                Codec.encode(raft.committedMembers()).toByteArray());
        raft.lag().forEach((other, missing) -> trace.line("sl", other, missing));
        new TreeSet<>(raft.membersWithLostLog()).forEach(other -> trace.line("sr", other));
        new TreeSet<>(raft.recentlyActive(clock(now))).forEach(other -> trace.line("sh", other));
        raft.members().all().keySet().forEach(other -> trace.line("sv", other, raft.isCommittedVoter(other)));
        trace.count("role " + raft.role().ordinal());
        if (raft.isNonMember()) {
            trace.count("non-member");
        }
        if (!raft.membersWithLostLog().isEmpty()) {
            trace.count("lost log");
        }
    }
}
