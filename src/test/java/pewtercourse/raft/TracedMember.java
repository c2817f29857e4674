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
    private static final int STATE_EVERY = 16; // Entries between two traces of the whole state.

    final String name;
    private final long clockOffset;
    private final Trace trace;
    private SimulatedDisk disk;
    private SimulatedDisk backup;
    private Raft raft;
    private ClusterState state = new ClusterState();
    private long applied;
    private int starts;
    private boolean restoredAtStart;

    TracedMember(String name, long clockOffset, SimulatedDisk disk, Trace trace) {
        this.name = name;
        this.clockOffset = clockOffset;
        this.disk = disk;
        this.trace = trace;
    }

    // ---- Its life ----

    boolean up() {
        return raft != null;
    }

    /** Counts starts: what was scheduled for an earlier one is void. */
    int starts() {
        return starts;
    }

    void start(long now, long seed) {
        starts++;
        restoredAtStart = true;
        Saved saved = disk.read();
        applied = saved.snapshot().index();
        state = new ClusterState();
        raft = new Raft(TracedGroup.SETTINGS, name, saved, clock(now), new Random(seed));
        trace.line("start", name, saved.incarnation());
    }

    void crash(int synced) {
        disk.crash(synced);
        raft = null;
        trace.line("crash", name);
    }

    void loseFolder(long incarnation) {
        disk = new SimulatedDisk(incarnation, Snapshot.NOTHING);
        backup = null;
    }

    void backUpFolder() {
        backup = disk.copy();
    }

    boolean restoreFolder() {
        if (backup != null) {
            disk = backup.copy();
        }
        return backup != null;
    }

    // ---- What is done to it ----

    long clock(long now) {
        return now + clockOffset;
    }

    void tick(long now) {
        raft.tick(clock(now));
    }

    boolean due(long now) {
        return clock(now) >= raft.wakeAt();
    }

    void receive(long now, String from, long incarnation, byte[] frame) {
        try {
            raft.receive(clock(now), from, incarnation, Codec.decode(Wire.Frame.parseFrom(frame)));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    void sync(long now) {
        long last = disk.sync();
        if (last >= 0) {
            raft.saved(clock(now), last);
        }
    }

    void compact(Snapshot snapshot) {
        if (disk.compact(snapshot)) {
            raft.compacted(snapshot);
        }
    }

    /** Null if too few entries were applied since the last one. */
    Snapshot snapshot(int every) {
        return applied - raft.snapshotIndex() < every ? null : raft.snapshotAt(applied, state.encode());
    }

    void propose(long now, byte[] command) {
        proposed("propose", raft.propose(clock(now), command));
    }

    void addMember(long now, String other, String address, long incarnation) {
        proposed("add", raft.addMember(clock(now), other, address, incarnation));
    }

    void removeMember(long now, String other) {
        proposed("remove", raft.removeMember(clock(now), other));
    }

    private void proposed(String what, Raft.Proposed p) {
        trace.line(what, name, p.index(), p.term(), refusal(p.refusal()));
    }

    void read(long now, long id) {
        trace.line("read", name, id, refusal(raft.read(clock(now), id)));
    }

    void transfer(long now, String to) {
        trace.line("transfer", name, to, refusal(raft.transfer(clock(now), to)));
    }

    private int refusal(Raft.Refusal refusal) {
        int number = refusal == null ? -1 : refusal.ordinal();
        trace.count("refusal " + number);
        return number;
    }

    // ---- What it tells ----

    boolean leads() {
        return up() && raft.role() == Raft.Role.LEADER;
    }

    String bestTransferTarget(long now) {
        return raft.heir(clock(now));
    }

    Membership members() {
        return raft.members();
    }

    long incarnation() {
        return raft.incarnation();
    }

    /** No member is a learner, or lacks more than a few entries. */
    boolean groupIsWell() {
        return members().all().values().stream().allMatch(Membership.Member::voter)
                && raft.lag().values().stream().allMatch(missing -> missing < 10)
                && raft.regressed().isEmpty();
    }

    LeaseWire.Snapshot wireState() {
        try {
            return LeaseWire.Snapshot.parseFrom(state.encode());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Carries out what is to be done, and hands out what is to be sent. */
    List<Ready.Addressed> pump(TracedGroup group) {
        Ready ready = raft.take();
        if (ready.save() != null) {
            save(ready.save());
            group.schedulesSync(this);
        }
        ready.send().forEach(this::sent);
        if (ready.install() != null) {
            restore(ready.install());
        }
        restoredAtStart = false;
        for (Entry entry : ready.committed()) {
            apply(entry);
            group.agreed(entry.index(), Codec.encode(entry).toByteArray());
        }
        for (Ready.Read read : ready.reads()) {
            trace.line("r", name, read.id(), read.index(), read.confirmed());
            trace.count("read " + read.confirmed());
        }
        return ready.send();
    }

    private void save(Save save) {
        disk.write(save);
        trace.line("v", name, save.seq(), save.term(), save.votedFor(), save.commit());
        if (save.snapshot() != null) {
            snapshot("vs", save.snapshot());
        }
        save.entries().forEach(entry -> trace.line("ve", Codec.encode(entry).toByteArray()));
        trace.count("save");
    }

    private void sent(Ready.Addressed sent) {
        Wire.Frame frame = Codec.encode(sent.message());
        trace.line("m", name, sent.to(), frame.toByteArray());
        trace.count("message " + frame.getBodyCase().getNumber());
        if (frame.hasInstall() && frame.getInstall().getOffset() > 0) {
            trace.count("later snapshot part");
        }
    }

    private void restore(Snapshot snapshot) {
        snapshot("i", snapshot);
        trace.count(restoredAtStart ? "restore at start" : "restore from leader");
        applied = snapshot.index();
        try {
            state = ClusterState.decode(snapshot.state());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private void snapshot(String tag, Snapshot snapshot) {
        trace.line(
                tag,
                name,
                snapshot.index(),
                snapshot.term(),
                Codec.encode(snapshot.members()).toByteArray(),
                snapshot.state());
    }

    private void apply(Entry entry) {
        if (entry.index() != ++applied) {
            throw new AssertionError("entry " + entry.index() + " instead of " + applied);
        }
        boolean accepted = entry.command().length > 0 && accepted(entry.index(), entry.command());
        trace.line("c", name, Codec.encode(entry).toByteArray(), accepted);
        trace.count("command " + accepted);
        if (entry.index() % STATE_EVERY == 0) {
            trace.line("cs", name, state.encode());
        }
    }

    private boolean accepted(long index, byte[] command) {
        try {
            return state.apply(index, CommandCodec.decode(command)).isApplied();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Traces all that the public methods tell. */
    void observe(long now) {
        trace.line(
                "s",
                name,
                raft.role().ordinal(),
                raft.term(),
                raft.leader(),
                raft.commit(),
                raft.lastIndex(),
                raft.snapshotIndex(),
                raft.wakeAt(),
                raft.stranger(),
                bestTransferTarget(now),
                Codec.encode(raft.members()).toByteArray(),
                Codec.encode(raft.agreedMembers()).toByteArray());
        raft.lag().forEach((other, missing) -> trace.line("sl", other, missing));
        new TreeSet<>(raft.regressed()).forEach(other -> trace.line("sr", other));
        new TreeSet<>(raft.heard(clock(now))).forEach(other -> trace.line("sh", other));
        raft.members().all().keySet().forEach(other -> trace.line("sv", other, raft.agreedVoter(other)));
        trace.count("role " + raft.role().ordinal());
        if (raft.stranger()) {
            trace.count("non-member");
        }
        if (!raft.regressed().isEmpty()) {
            trace.count("lost log");
        }
    }
}
