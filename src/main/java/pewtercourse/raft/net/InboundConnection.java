package pewtercourse.raft.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.raft.wire.Wire;

/**
 * A connection that another member has opened. It carries messages to this member. This member sends one byte back for
 * each read, by which the sender knows that the connection is alive. An error closes only this connection. Confined to
 * the event loop.
 */
final class InboundConnection {
    private static final long HANDSHAKE_TIMEOUT_MS = 2_000;
    private static final byte[] ACKNOWLEDGEMENT = {1};

    private final NetSocket socket;
    private final Timers timers;
    private final Handshake handshake;
    private final MemberTransport.Receiver receiver;
    private final Runnable onHandshakeEnded;
    private final FrameCodec codec = new FrameCodec();
    private final long handshakeTimer;
    private Handshake.Remote remote; // Null until the handshake has succeeded.

    /**
     * Starts to read from an accepted socket.
     *
     * @param onHandshakeEnded called when the handshake has succeeded, and again when the connection is closed
     */
    InboundConnection(
            NetSocket socket,
            Timers timers,
            Handshake handshake,
            MemberTransport.Receiver receiver,
            Runnable onHandshakeEnded) {
        this.socket = socket;
        this.timers = timers;
        this.handshake = handshake;
        this.receiver = receiver;
        this.onHandshakeEnded = onHandshakeEnded;
        this.handshakeTimer =
                timers.set(HANDSHAKE_TIMEOUT_MS, () -> reject("no hello within " + HANDSHAKE_TIMEOUT_MS + " ms"));
        socket.exceptionHandler(e -> {}); // The close handler is called next.
        socket.closeHandler(v -> endHandshake());
        socket.handler(this::read);
    }

    private void read(Buffer received) {
        try {
            for (Wire.Frame message : codec.decode(received)) {
                handle(message);
            }
            socket.write(Buffer.buffer(ACKNOWLEDGEMENT));
        } catch (InvalidProtocolBufferException | Handshake.RejectedException e) {
            reject(e.getMessage());
        } catch (RuntimeException e) {
            Log.error("cluster.unexpected", e);
            socket.close();
        }
    }

    private void handle(Wire.Frame message) throws Handshake.RejectedException {
        if (remote == null) {
            remote = handshake.accept(message);
            endHandshake();
        } else {
            receiver.receive(remote.member(), remote.incarnation(), message);
        }
    }

    private void endHandshake() {
        timers.cancel(handshakeTimer);
        onHandshakeEnded.run();
    }

    private void reject(String reason) {
        Log.counted("cluster.stranger", "from", socket.remoteAddress(), "error", reason);
        socket.close();
    }
}
