import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with milliseconds since the start of the case. */
final class Recorder implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start, on the monotonic clock. */
    double now() {
        return at(System.nanoTime());
    }

    /** The same for a time of System.nanoTime. */
    double at(long nanoTime) {
        return (nanoTime - startedAt) / 1e6;
    }

    synchronized void note(String format, Object... args) {
        out.printf(Locale.ROOT, "%9.1f ", now());
        out.printf(Locale.ROOT, format, args);
        out.println();
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
