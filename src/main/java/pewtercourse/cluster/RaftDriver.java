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
 * Runs this member's {@link Raft} on its open data folder. It passes messages, time and completed writes to Raft and
 * carries out the actions of each {@link Ready} in a fixed order: start the write, send, apply, complete reads. A driver
 * is used from the opening of the folder until the member stops, its disk fails or an unexpected error occurs; after a
 * failure a new driver replaces it.
 *
 * <p>Mutable state: the Raft state, the index of the last applied entry, the wake-up timer, and whether the driver is
 * open and driving. All of it belongs to the event loop.
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
    private long appliedIndex;
    private long wakeUpTimer = NO_TIMER;
    private boolean open = true;
    private boolean driving;

    /** {@code onUnexpectedError} must stop this driver, because its state is no longer reliable. */
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
        this.appliedIndex = saved.snapshot().index();
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

    /**
     * Carries out the actions that are due after recovery and listens for the other members. Fails if the address
     * can't be bound.
     */
    Future<Void> start() {
        drive();
        return net.listen(SocketAddress.inetSocketAddress(config.listen())).mapEmpty();
    }

    /** Stops all input and output of this driver. {@link #release} must follow. */
    void stop() {
        environment.timers().cancel(wakeUpTimer);
        open = false;
    }

    /** Closes the connections immediately, and the data folder after the write in progress. */
    void release() {
        net.close();
        storage.close();
    }

    boolean isOpen() {
        return open;
    }

    /** Returns the Raft state. A caller that changes it must call {@link #drive} afterwards. */
    Raft raft() {
        return raft;
    }

    MemberTransport net() {
        return net;
    }

    /** Returns the index of the last applied log entry. */
    long appliedIndex() {
        return appliedIndex;
    }

    private long now() {
        return environment.clock().now();
    }

    // A configured address takes precedence over the address in the log: members may reach one member by different
    // addresses.
    private SocketAddress address(String member) {
        String address = config.address(member);
        if (address == null && open && raft.members().all().containsKey(member)) {
            address = raft.members().all().get(member).address();
        }
        try {
            return address == null ? null : SocketAddress.inetSocketAddress(DirectorConfig.address("address", address));
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
                Message message = Codec.decode(frame).orElse(null);
                if (message != null) {
                    // Advances the clock first: after a pause of the process this member's role may be out of date.
                    raft.tick(now());
                    raft.receive(now(), from, incarnation, message);
                }
            }
        }
        drive();
    }

    private void proposeFor(String from, byte[] command) {
        Raft.ProposalResult result = raft.propose(now(), command);
        if (result.rejection() != null) {
            Log.counted("cluster.call_refused", "from", from, "why", result.rejection());
        }
    }

    /** Handles that the save with this number, and all saves before it, are on disk. */
    void saved(long saveNumber) {
        if (open) {
            raft.saved(now(), saveNumber);
            drive();
        }
    }

    private void onWakeUp() {
        wakeUpTimer = NO_TIMER;
        if (open) {
            raft.tick(now());
            drive();
        }
    }

    /**
     * Proposes a command of this member: to its own log if it leads, otherwise by a message to the leader. The command
     * is lost if no leader is known; callers offer it again. {@link #drive} must follow.
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

    /** Carries out all actions that are due. A nested call does nothing: the outer call continues. */
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
        environment.timers().cancel(wakeUpTimer);
        long next = Math.min(raft.wakeAt(), now() + config.duties().retryMicros() / 4);
        wakeUpTimer = environment.timers().set(Timers.millis(next - now()), this::onWakeUp);
    }

    /** Returns whether the replicated state may have changed. */
    private boolean carryOut(Ready ready) {
        if (ready.save() != null) {
            storage.save(ready.save());
        }
        ready.messages().forEach(addressed -> net.send(addressed.to(), Codec.encode(addressed.message())));
        boolean changed = apply(ready);
        ready.reads().forEach(read -> reads.complete(read.id(), read.confirmed()));
        leases.publish(raft, changed);
        takeSnapshotIfDue();
        return changed;
    }

    private boolean apply(Ready ready) {
        boolean changed = false;
        try {
            if (ready.snapshot() != null) {
                leases.restore(ready.snapshot());
                appliedIndex = ready.snapshot().index();
                changed = true;
            }
            for (Entry entry : ready.committed()) {
                appliedIndex = entry.index();
                if (entry.kind() == Entry.Kind.COMMAND) {
                    leases.apply(entry);
                    changed = true;
                }
            }
        } catch (InvalidProtocolBufferException e) {
            // Skipping the entry would let this member's state diverge from that of the others.
            throw new IllegalStateException("entry " + appliedIndex + " can't be read: " + e.getMessage());
        }
        return changed;
    }

    /** Returns whether a command was proposed. */
    private boolean proposeDueCommands() {
        return open && !raft.members().all().isEmpty() && leases.proposeDue(this);
    }

    private void takeSnapshotIfDue() {
        if (!open || appliedIndex - raft.snapshotIndex() < SNAPSHOT_AFTER_ENTRIES) {
            return;
        }
        Snapshot snapshot = raft.snapshotAt(appliedIndex, leases.state().encode());
        if (snapshot != null) {
            storage.snapshot(snapshot, written -> {
                if (open) {
                    raft.compacted(written);
                }
            });
        }
    }
}
