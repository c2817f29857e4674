package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.Assumptions;

/** Steps the wall clock of a process under test, by a preloaded library that is compiled here; its monotonic clock runs on. */
final class WallClockShift {
    private static final Path SOURCE = Path.of("src/test/native/wall_clock_shift.c");
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Path library;
    private final Path shiftFile;

    /** Compiles the library into a folder; the test is skipped, and says so, on a machine without a C compiler. */
    WallClockShift(Path folder) throws Exception {
        library = folder.resolve("libwallclockshift.so");
        shiftFile = folder.resolve("wall-clock-shift");
        stepTo(0);
        Assumptions.assumeTrue(hasCompiler(), "not run: no C compiler (cc) on this machine");
        Process compiler = new ProcessBuilder(
                        "cc", "-std=gnu11", "-O1", "-shared", "-fPIC", "-o", library.toString(), SOURCE.toString())
                .inheritIO()
                .start();
        assertEquals(0, compiler.waitFor(), "cc could not compile " + SOURCE);
    }

    private static boolean hasCompiler() throws InterruptedException {
        try {
            return new ProcessBuilder("cc", "--version")
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start()
                            .waitFor()
                    == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Shell commands that put the processes started after them on this wall clock. */
    String shellPrefix() {
        return "export WALL_CLOCK_SHIFT_FILE='" + shiftFile + "' LD_PRELOAD='" + library + "';";
    }

    /** Sets the wall clock this many seconds ahead of the machine's; negative: behind. */
    void stepTo(long seconds) throws IOException {
        ByteBuffer shift = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
        shift.putLong(seconds * MICROS_PER_SECOND).flip();
        try (FileChannel file = FileChannel.open(shiftFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(shift, 0);
        }
        assertEquals(Long.BYTES, Files.size(shiftFile));
    }
}
