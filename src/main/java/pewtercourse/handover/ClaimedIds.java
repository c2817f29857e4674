package pewtercourse.handover;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.hash.StableHash;

/**
 * The ids of requests with effects that a process of this director has sent to a cache or is about to send. The processes
 * of an upgrade share them in a memory-mapped file, so that a request that comes to each of them runs once. A claim is
 * dropped after ten minutes, or earlier if its bucket is full of later ones. Never blocks: a process that is stopped in the
 * middle of a call holds up no other.
 *
 * <p>The file consists of buckets of slots. A slot holds the time of the claim in Unix milliseconds, 0 if it is free, and
 * the id, in the byte order of the machine.
 */
public final class ClaimedIds {
    private static final String FILE_NAME = "pewtercourse-claimed-ids.1";
    private static final VarHandle LONG = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int SLOTS_PER_BUCKET = 16;
    private static final int BUCKET_BYTES = SLOTS_PER_BUCKET * SLOT_BYTES;
    private static final int FILE_BYTES = 4_096 * BUCKET_BYTES;
    private static final int UNSHARED_BYTES = 1_024 * BUCKET_BYTES;
    private static final long FREE = 0;
    static final long MAX_AGE_MILLIS = TimeUnit.MINUTES.toMillis(10);

    /** Where a slot begins, and the time that it held. */
    private record Slot(int index, long time) {}

    private final ByteBuffer slots;
    private final LongSupplier unixMillis;

    private ClaimedIds(ByteBuffer slots, LongSupplier unixMillis) {
        this.slots = slots;
        this.unixMillis = unixMillis;
    }

    /** Claims that no other process sees. */
    public static ClaimedIds unshared(LongSupplier unixMillis) {
        return new ClaimedIds(ByteBuffer.allocateDirect(UNSHARED_BYTES), unixMillis);
    }

    /**
     * Claims that are shared with the other processes that use this folder.
     *
     * @param keepsEarlier whether claims of earlier processes count; otherwise the file is created anew
     * @throws IOException if the file can't be created or mapped
     */
    public static ClaimedIds sharedIn(Path folder, boolean keepsEarlier, LongSupplier unixMillis) throws IOException {
        Path file = folder.resolve(FILE_NAME);
        if (!keepsEarlier || !Files.exists(file) || Files.size(file) != FILE_BYTES) {
            create(file, keepsEarlier);
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return new ClaimedIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES), unixMillis);
        }
    }

    // Written in full: a write to a mapped page that the file system has no space for would end the process.
    private static void create(Path file, boolean keepsEarlier) throws IOException {
        Path temporary =
                file.resolveSibling(FILE_NAME + "." + ProcessHandle.current().pid());
        try {
            Files.write(temporary, new byte[FILE_BYTES]);
            if (!keepsEarlier || Files.exists(file) && Files.size(file) != FILE_BYTES) {
                Files.deleteIfExists(file);
            }
            Files.createLink(file, temporary);
        } catch (FileAlreadyExistsException e) {
            Log.info("ids.created_by_other", "file", file);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Whether a process of this director holds a claim on this id. */
    public boolean contains(long id) {
        return find(id, -1) >= 0;
    }

    /** Claims an id that is about to be sent. Returns false if it is claimed already, and must not be sent. */
    public boolean claim(long id) {
        if (contains(id)) {
            return false;
        }
        long now = unixMillis.getAsLong();
        int slot = reserveSlot(id, now);
        LONG.setVolatile(slots, slot + Long.BYTES, id);
        if (find(id, slot) >= 0) {
            LONG.setVolatile(slots, slot, FREE); // Another process claimed it at the same time; at most one goes on.
            return false;
        }
        return true;
    }

    /** Gives up the claim on an id that has run nowhere. */
    public void release(long id) {
        int slot = find(id, -1);
        if (slot >= 0) {
            LONG.setVolatile(slots, slot, FREE);
        }
    }

    // The index of the slot that holds a valid claim on the id, apart from one slot; -1 if there is none.
    private int find(long id, int exceptSlot) {
        long now = unixMillis.getAsLong();
        int first = firstSlot(id);
        for (int slot = first; slot < first + BUCKET_BYTES; slot += SLOT_BYTES) {
            boolean holdsId = (long) LONG.getVolatile(slots, slot + Long.BYTES) == id;
            if (slot != exceptSlot && holdsId && isValid((long) LONG.getVolatile(slots, slot), now)) {
                return slot;
            }
        }
        return -1;
    }

    // Takes a free slot, one whose claim has ended, or else the oldest; its time is set before its id. Each change of
    // the
    // time is to another value, so that of several processes one gets the slot.
    private int reserveSlot(long id, long now) {
        while (true) {
            Slot slot = oldestSlot(firstSlot(id), now);
            long newTime = slot.time == now ? now + 1 : now;
            if (LONG.compareAndSet(slots, slot.index, slot.time, newTime)) {
                return slot.index;
            }
        }
    }

    private Slot oldestSlot(int first, long now) {
        Slot oldest = new Slot(first, Long.MAX_VALUE);
        for (int slot = first; slot < first + BUCKET_BYTES; slot += SLOT_BYTES) {
            long time = (long) LONG.getVolatile(slots, slot);
            if (!isValid(time, now)) {
                return new Slot(slot, time);
            }
            if (time < oldest.time) {
                oldest = new Slot(slot, time);
            }
        }
        return oldest;
    }

    // The wall clock may be stepped in either direction.
    private static boolean isValid(long time, long now) {
        return time != FREE && Math.abs(now - time) <= MAX_AGE_MILLIS;
    }

    private int firstSlot(long id) {
        return Math.floorMod(StableHash.mix(id), slots.capacity() / BUCKET_BYTES) * BUCKET_BYTES;
    }
}
