package pewtercourse.emulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;

/**
 * Injects faults into the wall clock and the system calls of one process, through a library that is compiled with the
 * machine's {@code cc} and preloaded into the process. The monotonic clock is left alone.
 */
public final class SystemFaults {
    /** A system call that fails, as the position of its number of failures in the library. */
    public enum Call {
        ACCEPT(1),
        CONNECT(3),
        SOCKET(5),
        /** Writes and syncs to regular files. */
        DISK(9);

        private final int slot;

        Call(int slot) {
            this.slot = slot;
        }
    }

    /** An error of Linux with which a call fails. */
    public enum Errno {
        EIO(5),
        EMFILE(24),
        ENFILE(23),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final String SOURCE = "system_faults.c";
    private static final int SHIFT_SLOT = 0;
    private static final int INTERRUPTED_WAITS_SLOT = 7;
    private static final int SHORT_TRANSFERS_SLOT = 8;
    private static final int SLOTS = 11;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Path library;
    private final Path faultsFile;
    private final MappedByteBuffer faults;

    private SystemFaults(Path library, Path faultsFile) throws IOException {
        this.library = library;
        this.faultsFile = faultsFile;
        try (FileChannel file = FileChannel.open(
                faultsFile, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            faults = file.map(FileChannel.MapMode.READ_WRITE, 0, (long) SLOTS * Long.BYTES);
        }
        faults.order(ByteOrder.nativeOrder());
    }

    /**
     * Compiles the library into a folder.
     *
     * @return empty on a machine without a C compiler
     */
    public static Optional<Path> compile(Path folder) throws IOException {
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("libsystemfaults.so");
        try (InputStream in = SystemFaults.class.getResourceAsStream(SOURCE)) {
            Files.write(source, in.readAllBytes());
        }
        try {
            int exitCode = new ProcessBuilder(
                            "cc",
                            "-std=gnu11",
                            "-O1",
                            "-shared",
                            "-fPIC",
                            "-o",
                            library.toString(),
                            source.toString(),
                            "-ldl")
                    .inheritIO()
                    .start()
                    .waitFor();
            if (exitCode != 0) {
                throw new IOException("cc could not compile " + source);
            }
            return Optional.of(library);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (IOException e) {
            if (Files.exists(library) || e.getMessage().startsWith("cc could")) {
                throw e;
            }
            return Optional.empty();
        }
    }

    /** Creates the faults of one process, none at first, with the compiled library. */
    public static SystemFaults of(Path library, Path faultsFile) {
        try {
            return new SystemFaults(library, faultsFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Environment variables that put a process under these faults. */
    public Map<String, String> environment() {
        return Map.of("SYSTEM_FAULTS", faultsFile.toString(), "LD_PRELOAD", library.toString());
    }

    /** Sets the wall clock this many seconds ahead of the machine's; negative: behind. */
    public void stepWallClockTo(long seconds) {
        set(SHIFT_SLOT, seconds * MICROS_PER_SECOND);
    }

    /** Lets the next calls of this kind fail. */
    public void fail(Call call, int times, Errno error) {
        set(call.slot + 1, error.number);
        set(call.slot, times);
    }

    /** Interrupts the next waits for events by a signal (EINTR). */
    public void interruptWaits(int times) {
        set(INTERRUPTED_WAITS_SLOT, times);
    }

    /** Lets the next reads and writes of sockets transfer a few bytes only. */
    public void shortenTransfers(int times) {
        set(SHORT_TRANSFERS_SLOT, times);
    }

    /** Number of failures of this kind that have not happened yet. */
    public long pending(Call call) {
        return Math.max(0, faults.getLong(call.slot * Long.BYTES));
    }

    private void set(int slot, long value) {
        faults.putLong(slot * Long.BYTES, value);
    }
}
