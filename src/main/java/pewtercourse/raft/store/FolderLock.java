package pewtercourse.raft.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.StandardOpenOption;

/** A lock that gives one store of one process exclusive use of a data folder until the lock is closed. */
final class FolderLock implements Closeable {
    private final FileChannel channel;
    private final FileLock lock;

    private FolderLock(FileChannel channel, FileLock lock) {
        this.channel = channel;
        this.lock = lock;
    }

    /**
     * Acquires the lock of a folder.
     *
     * @throws StoreException with {@link StoreException.Reason#IN_USE} if another store has the lock, in this process
     *     or in another
     */
    static FolderLock acquire(DataFolder folder) throws IOException {
        FileChannel channel = FileChannel.open(folder.lockFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = tryLock(channel);
            if (lock == null) {
                throw StoreException.inUse(folder.path());
            }
            return new FolderLock(channel, lock);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    // Null if the lock is taken. If another store of this process has it, the library throws an exception instead.
    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        lock.release();
        channel.close();
    }
}
