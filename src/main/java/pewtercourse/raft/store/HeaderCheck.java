package pewtercourse.raft.store;

import java.nio.file.Path;
import java.util.Optional;
import pewtercourse.raft.wire.Wire;

/**
 * Checks the headers of files: rejects unsupported format versions, and files of another member or cluster.
 *
 * @param owner the owner whose files are accepted; empty if the files of any owner are accepted
 */
record HeaderCheck(Optional<FolderOwner> owner) {
    /** The only version of the format of segments and snapshots that this program writes and reads. */
    static final int FORMAT_VERSION = 1;

    static HeaderCheck ownedBy(FolderOwner owner) {
        return new HeaderCheck(Optional.of(owner));
    }

    static HeaderCheck anyOwner() {
        return new HeaderCheck(Optional.empty());
    }

    /**
     * Checks the head of a segment.
     *
     * @throws StoreException if the segment must not be read
     */
    void require(Path file, Wire.SegmentHead head) throws StoreException {
        requireVersion(file, head.getVersion());
        FolderOwner found = new FolderOwner(head.getCluster(), head.getMember());
        if (owner.isPresent() && !owner.get().equals(found)) {
            throw StoreException.ofOtherMember(file, found.cluster(), found.member());
        }
    }

    /**
     * Checks a snapshot, which may come from any member of the cluster.
     *
     * @throws StoreException if the snapshot must not be read
     */
    void require(Path file, Wire.SnapshotFile snapshot) throws StoreException {
        requireVersion(file, snapshot.getVersion());
        if (owner.isPresent() && !owner.get().cluster().equals(snapshot.getCluster())) {
            throw StoreException.ofOtherCluster(file, snapshot.getCluster());
        }
    }

    private static void requireVersion(Path file, int version) throws StoreException {
        if (version != FORMAT_VERSION) {
            throw StoreException.unsupportedVersion(file, version, FORMAT_VERSION);
        }
    }
}
