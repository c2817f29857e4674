package pewtercourse.raft.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.raft.wire.Wire;

/**
 * The members' connections: one in each direction between two members, each carrying frames one way, so that a link
 * can fail one way. On the event loop.
 */
public final class MemberNet {
    private static final int VERSION = 1, STRANGERS_MOST = 32;
    private static final int CONNECT_MS = 1_000;
    private static final long HELLO_MS = 2_000;

    /** Takes a frame of {@code from}, whose folder has this incarnation. */
    public interface Receiver {
        void receive(String from, long incarnation, Wire.Frame frame);
    }

    private final String cluster, self;
    private final long incarnation;
    private final Timers timers;
    private final Random random;
    private final Function<String, SocketAddress> addresses;
    private final Receiver receiver;
    private final NetServer server;
    private final NetClient client;
    private final Map<String, MemberLink> links = new TreeMap<>();
    private final Set<NetSocket> unnamed = new HashSet<>(); // Without their hello.

    /** {@code addresses}: where a member is reached, or null for one that is unknown. */
    public MemberNet(
            Vertx vertx,
            String cluster,
            String self,
            long incarnation,
            Random random,
            Function<String, SocketAddress> addresses,
            Receiver receiver) {
        this.cluster = cluster;
        this.self = self;
        this.incarnation = incarnation;
        this.random = random;
        this.addresses = addresses;
        this.receiver = receiver;
        this.timers = Timers.of(vertx);
        this.server =
                vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true));
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_MS).setTcpNoDelay(true));
        server.connectHandler(this::accept);
        server.exceptionHandler(e -> Log.counted("cluster.accept_error", "error", e));
    }

    public Future<NetServer> listen(SocketAddress at) {
        return server.listen(at);
    }

    public void send(String to, Wire.Frame frame) {
        links.computeIfAbsent(to, this::link).send(frame);
    }

    /** Frames that were dropped because a member was not reached in time. */
    public long dropped() {
        return links.values().stream().mapToLong(MemberLink::dropped).sum();
    }

    private MemberLink link(String to) {
        Wire.Frame hello = Wire.Frame.newBuilder()
                .setHello(Wire.Hello.newBuilder()
                        .setVersion(VERSION)
                        .setCluster(cluster)
                        .setFrom(self)
                        .setTo(to)
                        .setIncarnation(incarnation))
                .build();
        return new MemberLink(client, timers, random, () -> addresses.apply(to), hello);
    }

    private void accept(NetSocket s) {
        if (unnamed.size() >= STRANGERS_MOST) {
            Log.counted("cluster.full", "from", s.remoteAddress());
            s.close();
            return;
        }
        unnamed.add(s);
        FrameReader reader = new FrameReader();
        Inbound in = new Inbound();
        long timer = timers.set(HELLO_MS, () -> end(s, "no hello in time"));
        s.exceptionHandler(e -> {});
        s.closeHandler(v -> {
            timers.cancel(timer);
            unnamed.remove(s);
        });
        s.handler(b -> {
            try {
                for (Wire.Frame f : reader.add(b)) {
                    if (in.from == null) {
                        if (!hello(s, in, f)) {
                            return;
                        }
                        timers.cancel(timer);
                        unnamed.remove(s);
                    } else {
                        receiver.receive(in.from, in.incarnation, f);
                    }
                }
                s.write(Buffer.buffer(new byte[] {1}));
            } catch (InvalidProtocolBufferException e) {
                end(s, e.getMessage());
            } catch (RuntimeException e) {
                Log.error("cluster.unexpected", e);
                s.close();
            }
        });
    }

    private static final class Inbound {
        String from;
        long incarnation;
    }

    private boolean hello(NetSocket s, Inbound in, Wire.Frame f) {
        Wire.Hello h = f.getHello();
        String why = !f.hasHello()
                ? "no hello"
                : h.getVersion() != VERSION
                        ? "version " + h.getVersion()
                        : !h.getCluster().equals(cluster)
                                ? "another cluster"
                                : !h.getTo().equals(self)
                                        ? "meant for another member"
                                        : addresses.apply(h.getFrom()) == null ? "unknown name" : null;
        if (why != null) {
            end(s, why);
            return false;
        }
        in.from = h.getFrom();
        in.incarnation = h.getIncarnation();
        return true;
    }

    private static void end(NetSocket s, String why) {
        Log.counted("cluster.stranger", "from", s.remoteAddress(), "error", why);
        s.close();
    }

    public Future<Void> close() {
        links.values().forEach(MemberLink::close);
        return server.close().eventually(client::close);
    }
}
