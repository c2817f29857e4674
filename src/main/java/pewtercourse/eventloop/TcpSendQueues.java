package pewtercourse.eventloop;

import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * Tells how many bytes of a socket its peer has not acknowledged yet, from the kernel's table of TCP sockets: a socket
 * that was written to says only that the kernel took the bytes. The table lists all sockets of the machine, so it is read
 * on a thread of its own, and at most once in a while. Knows nothing where the system has no such table, or does not list
 * the socket there. All methods are called on the event loop.
 */
public final class TcpSendQueues {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final long MIN_INTERVAL_MICROS = 100_000;
    private static final long IDLE_THREAD_SECONDS = 10;
    private static final int MAX_SOCKETS = 10_000; // Bounds the memory of one table.
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final int QUEUES_COLUMN = 4;
    private static final String TIME_WAIT = "06"; // Such a socket has no queue.
    private static final int HEX = 16;
    private static final int IPV4_HEX_DIGITS = 8;

    /** Both ends of a connection, each as address and port in the notation of the table. */
    private record Ends(String local, String remote) {}

    private record Table(long readBeganMicros, Map<Ends, Long> bytesByEnds) {}

    private final LongSupplier clock;
    private final Executor reader;
    private final AtomicBoolean isReading = new AtomicBoolean();
    private volatile Table lastTable = new Table(Long.MIN_VALUE / 2, Map.of());

    /**
     * Creates a reader of the table.
     *
     * @param clock counts microseconds; also called by the reader's thread
     * @param reader runs the reads
     */
    public TcpSendQueues(LongSupplier clock, Executor reader) {
        this.clock = clock;
        this.reader = reader;
    }

    /** Creates a reader with a thread that exists while there is something to read. */
    public static Executor newReader() {
        ThreadPoolExecutor reader = new ThreadPoolExecutor(
                1, 1, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                    Thread thread = new Thread(task, "tcp-send-queues");
                    thread.setDaemon(true);
                    return thread;
                });
        reader.allowCoreThreadTimeOut(true);
        return reader;
    }

    /** The queue of this socket. */
    public SendQueue of(NetSocket socket) {
        return new SendQueue() {
            @Override
            public void refresh() {
                TcpSendQueues.this.refresh();
            }

            @Override
            public boolean isKnownSince(long micros) {
                return lastTable.readBeganMicros >= micros;
            }

            @Override
            public OptionalLong unacknowledgedBytes() {
                return TcpSendQueues.this.unacknowledgedBytes(socket);
            }
        };
    }

    private OptionalLong unacknowledgedBytes(NetSocket socket) {
        String localEnd = tableNotation(socket.localAddress());
        String remoteEnd = tableNotation(socket.remoteAddress());
        if (localEnd == null || remoteEnd == null) {
            return OptionalLong.empty();
        }
        Long bytes = lastTable.bytesByEnds.get(new Ends(localEnd, remoteEnd));
        return bytes == null ? OptionalLong.empty() : OptionalLong.of(bytes);
    }

    private void refresh() {
        long now = clock.getAsLong();
        if (now - lastTable.readBeganMicros >= MIN_INTERVAL_MICROS && isReading.compareAndSet(false, true)) {
            reader.execute(() -> readTables(now));
        }
    }

    // The table is empty where it can't be read: a part of it would show sockets as unknown that are not.
    private void readTables(long nowMicros) {
        Map<Ends, Long> read = new HashMap<>();
        try {
            for (Path table : TABLES) {
                if (Files.isReadable(table)) {
                    readTable(table, read);
                }
            }
        } catch (IOException | RuntimeException e) {
            read.clear();
        } finally {
            lastTable = new Table(nowMicros, read);
            isReading.set(false);
        }
    }

    private static void readTable(Path table, Map<Ends, Long> bytes) throws IOException {
        try (BufferedReader lines = Files.newBufferedReader(table)) {
            lines.readLine(); // The names of the columns.
            String line = lines.readLine();
            while (line != null && bytes.size() < MAX_SOCKETS) {
                readLine(line, bytes);
                line = lines.readLine();
            }
        }
    }

    private static void readLine(String line, Map<Ends, Long> bytes) {
        String[] columns = line.trim().split(" +", QUEUES_COLUMN + 2);
        if (columns.length <= QUEUES_COLUMN || columns[STATE_COLUMN].equals(TIME_WAIT)) {
            return;
        }
        String queued = columns[QUEUES_COLUMN];
        bytes.put(
                new Ends(withoutIpv6Prefix(columns[LOCAL_COLUMN]), withoutIpv6Prefix(columns[REMOTE_COLUMN])),
                Long.parseLong(queued, 0, queued.indexOf(':'), HEX));
    }

    // An IPv4 address that is mapped into IPv6 has its digits at the end.
    private static String withoutIpv6Prefix(String end) {
        int colon = end.indexOf(':');
        return end.substring(Math.max(0, colon - IPV4_HEX_DIGITS));
    }

    // The address as one number in the byte order of the machine, in hexadecimal digits; null if it is not IPv4.
    private static String tableNotation(SocketAddress address) {
        boolean hasAddress = address != null && address.hostAddress() != null;
        String[] parts = hasAddress ? address.hostAddress().split("\\.") : new String[0];
        if (parts.length != Integer.BYTES) {
            return null;
        }
        int number = 0;
        for (String part : parts) {
            number = number << Byte.SIZE | Integer.parseInt(part);
        }
        int inMachineOrder = ByteOrder.nativeOrder() == ByteOrder.LITTLE_ENDIAN ? Integer.reverseBytes(number) : number;
        return String.format("%08X:%04X", inMachineOrder, address.port());
    }
}
