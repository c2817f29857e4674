package pewtercourse.cluster;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import java.util.function.Consumer;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Message;
import pewtercourse.raft.Raft;
import pewtercourse.raft.Ready;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.net.MemberTransport;
import pewtercourse.raft.wire.Wire;

/**
 * Runs this member's {@link Raft} over its open data folder. Messages, time and completed writes go in; what each
 * {@link Ready} asks for is carried out in its order: start the write, send, apply, answer reads. One driver lives from
 * the opening of the folder until the member stops or its disk fails; after a failure a new one takes its place.
 *
 * <p>Mutable state: the Raft state, the index applied last, the wake-up timer, and whether the driver is open and
 * driving. All of it belongs to the event loop.
 */
final class RaftDriver {
    private static final int SNAPSHOT_AFTER_ENTRIES = 8_192;
    private static final int MAX_ROUNDS = 8;
    private static final long NO_TIMER = -1;

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final StorageWorker storage;
    private final LeaseDriver leases;
    private final PendingReads reads;
    private final Consumer<RuntimeException> onUnexpectedError;
    private final Raft raft;
    private final MemberTransport net;
    private long applied;
    private long timer = NO_TIMER;
    private boolean open = true;
    private boolean driving;

    /** {@code onUnexpectedError} has to stop this driver: its state can't be relied on any more. */
    RaftDriver(
            MemberEnvironment environment,
            StorageWorker storage,
            Saved saved,
            LeaseDriver leases,
            PendingReads reads,
            Consumer<RuntimeException> onUnexpectedError) {
        this.environment = environment;
        this.config = environment.config();
        this.storage = storage;
        this.leases = leases;
        this.reads = reads;
        this.onUnexpectedError = onUnexpectedError;
        this.raft = new Raft(config.raft(), config.name(), saved, now(), environment.random());
        this.applied = saved.snapshot().index();
        logOpened(saved);
        this.net = new MemberTransport(
                environment.vertx(),
                config.cluster(),
                config.name(),
                saved.incarnation(),
                environment.random(),
                this::address,
                this::receive);
    }

    private void logOpened(Saved saved) {
        Log.info(
                "cluster.opened",
                "name",
                config.name(),
                "term",
                saved.term(),
                "snapshot",
                saved.snapshot().index(),
                "last",
                raft.lastIndex(),
                "incarnation",
                Long.toHexString(saved.incarnation()),
                "members",
                raft.members().all().keySet());
    }

    /** Carries out what recovery left to do and listens for the other members; fails if the address can't be bound. */
    Future<Void> start() {
        drive();
        return net.listen(SocketAddress.inetSocketAddress(config.listen())).mapEmpty();
    }

    /** Takes nothing in and does nothing more from now on. {@link #release} has to follow. */
    void stop() {
        environment.timers().cancel(timer);
        open = false;
    }

    /** Closes the connections at once, and the folder after the write that is under way. */
    void release() {
        net.close();
        storage.close();
    }

    boolean isOpen() {
        return open;
    }

    /** After a change of it from outside {@link #drive} has to follow. */
    Raft raft() {
        return raft;
    }

    MemberTransport net() {
        return net;
    }

    /** Index of the last log entry that was applied. */
    long appliedIndex() {
        return applied;
    }

    private long now() {
        return environment.clock().now();
    }

    // The configuration comes before what the log says: a member may reach another one by an address of its own.
    private SocketAddress address(String member) {
        String known = config.address(member);
        if (known == null && open && raft.members().all().containsKey(member)) {
            known = raft.members().all().get(member).address();
        }
        try {
            return known == null ? null : SocketAddress.inetSocketAddress(DirectorConfig.address("address", known));
        } catch (ConfigException e) {
            return null;
        }
    }

    // ---- Inputs: messages, completed writes, time ----

    private void receive(String from, long incarnation, Wire.Frame frame) {
        if (!open) {
            return;
        }
        switch (frame.getBodyCase()) {
            case CALL -> proposeFor(from, frame.getCall().getCommand().toByteArray());
            case BODY_NOT_SET, HELLO -> Log.counted("cluster.stranger", "from", from, "error", "an unknown frame");
            default -> {
                Message message = Codec.decode(frame);
                if (message != null) {
                    // Time first: after a pause of the process this member may not be what it was before.
                    raft.tick(now());
                    raft.receive(now(), from, incarnation, message);
                }
            }
        }
        drive();
    }

    private void proposeFor(String from, byte[] command) {
        Raft.Proposed proposed = raft.propose(now(), command);
        if (proposed.refusal() != null) {
            Log.counted("cluster.call_refused", "from", from, "why", proposed.refusal());
        }
    }

    /** The write with this number, and all before it, are on disk. */
    void saved(long number) {
        if (open) {
            raft.saved(now(), number);
            drive();
        }
    }

    private void timeout() {
        timer = NO_TIMER;
        if (open) {
            raft.tick(now());
            drive();
        }
    }

    /**
     * Proposes a command of this member: to its own log if it leads, else by a message to the leader. The command is lost
     * where no leader is known; callers offer it again. {@link #drive} has to follow.
     */
    void offer(byte[] command, long id) {
        if (raft.role() == Raft.Role.LEADER) {
            raft.propose(now(), command);
        } else if (raft.leader() != null) {
            Wire.Call call = Wire.Call.newBuilder()
                    .setId(id)
                    .setCommand(ByteString.copyFrom(command))
                    .build();
            net.send(raft.leader(), Wire.Frame.newBuilder().setCall(call).build());
        }
    }

    // ---- Outputs ----

    /** Carries out all that there is to do now. Called from within itself it does nothing: the outer call goes on. */
    void drive() {
        if (driving) {
            return;
        }
        driving = true;
        try {
            for (int round = 0; open && round < MAX_ROUNDS; round++) {
                boolean changed = carryOut(raft.take());
                if (!proposeDueCommands() && !changed) {
                    break;
                }
            }
        } catch (RuntimeException e) {
            onUnexpectedError.accept(e);
        } finally {
            driving = false;
        }
        if (open) {
            setTimer();
        }
    }

    private void setTimer() {
        environment.timers().cancel(timer);
        long next = Math.min(raft.wakeAt(), now() + config.duties().retryMicros() / 4);
        timer = environment.timers().set(Timers.millis(next - now()), this::timeout);
    }

    /** True if the replicated state may have changed. */
    private boolean carryOut(Ready ready) {
        if (ready.save() != null) {
            storage.save(ready.save());
        }
        ready.send().forEach(addressed -> net.send(addressed.to(), Codec.encode(addressed.message())));
        boolean changed = apply(ready);
        ready.reads().forEach(read -> reads.complete(read.id(), read.confirmed()));
        leases.publish(raft, changed);
        takeSnapshotIfDue();
        return changed;
    }

    private boolean apply(Ready ready) {
        boolean changed = false;
        try {
            if (ready.install() != null) {
                leases.restore(ready.install());
                applied = ready.install().index();
                changed = true;
            }
            for (Entry entry : ready.committed()) {
                applied = entry.index();
                if (entry.kind() == Entry.Kind.COMMAND) {
                    leases.apply(entry);
                    changed = true;
                }
            }
        } catch (InvalidProtocolBufferException e) {
            // Going on without it would leave this member with another state than the others.
            throw new IllegalStateException("entry " + applied + " can't be read: " + e.getMessage());
        }
        return changed;
    }

    /** True if a command was offered. */
    private boolean proposeDueCommands() {
        return open && !raft.members().all().isEmpty() && leases.proposeDue(this);
    }

    private void takeSnapshotIfDue() {
        if (!open || applied - raft.snapshotIndex() < SNAPSHOT_AFTER_ENTRIES) {
            return;
        }
        Snapshot snapshot = raft.snapshotAt(applied, leases.state().encode());
        if (snapshot != null) {
            storage.snapshot(snapshot, done -> {
                if (open) {
                    raft.compacted(done);
                }
            });
        }
    }
}
