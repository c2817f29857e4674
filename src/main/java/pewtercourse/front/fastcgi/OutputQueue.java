package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryStage;

/** The records that wait to be written to one client. Confined to the event loop. */
final class OutputQueue {
    /** Bytes to write, and how many bytes are held no longer once they are written. */
    private record Piece(Buffer bytes, long heldBytes) {}

    private final NetSocket socket;
    private final HeldBytes held;
    private final Consumer<Throwable> onWriteFailed;
    private final Deque<Piece> pieces = new ArrayDeque<>();
    private long bytes;
    private long heldBytes;
    private long bytesInLibrary; // Handed to the library, and not yet to the kernel.

    OutputQueue(NetSocket socket, HeldBytes held, Consumer<Throwable> onWriteFailed) {
        this.socket = socket;
        this.held = held;
        this.onWriteFailed = onWriteFailed;
    }

    /** Appends records. They share memory, so all of it is held until the last one is written. */
    void add(List<Buffer> records) {
        long sum = records.stream().mapToLong(Buffer::length).sum();
        for (int i = 0; i < records.size(); i++) {
            pieces.add(new Piece(records.get(i), i == records.size() - 1 ? sum : 0));
        }
        bytes += sum;
        heldBytes += sum;
        held.add(MemoryStage.ANSWERS, sum);
    }

    /** Writes until the socket is full; returns whether anything was written. */
    boolean write() {
        boolean written = false;
        while (!pieces.isEmpty() && !socket.writeQueueFull()) {
            Piece piece = pieces.poll();
            bytes -= piece.bytes.length();
            Future<Void> result = socket.write(piece.bytes);
            if (result != null) {
                int length = piece.bytes.length();
                bytesInLibrary += length;
                result.onComplete(ended -> bytesInLibrary -= length).onFailure(onWriteFailed::accept);
            }
            release(piece.heldBytes);
            written = true;
        }
        return written;
    }

    /** Drops all records. */
    void clear() {
        pieces.clear();
        bytes = 0;
        release(heldBytes);
    }

    private void release(long released) {
        heldBytes -= released;
        if (released > 0) {
            held.release(MemoryStage.ANSWERS, released);
        }
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Number of bytes that the kernel does not have yet. */
    long unfinishedBytes() {
        return bytes + bytesInLibrary;
    }

    /** Number of bytes that are not written yet. */
    long bytes() {
        return bytes;
    }
}
