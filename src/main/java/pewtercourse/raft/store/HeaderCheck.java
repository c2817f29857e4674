package pewtercourse.raft.store;

import java.nio.file.Path;
import java.util.Optional;
import pewtercourse.raft.wire.Wire;

/**
 * Refuses files in a format that this program does not read, and files of another member or cluster.
 *
 * @param owner whose files are accepted; empty: anybody's
 */
record HeaderCheck(Optional<FolderOwner> owner) {
    /** The version of the format of segments and snapshots that is written and read. */
    static final int FORMAT_VERSION = 1;

    static HeaderCheck ownedBy(FolderOwner owner) {
        return new HeaderCheck(Optional.of(owner));
    }

    static HeaderCheck anyOwner() {
        return new HeaderCheck(Optional.empty());
    }

    /** Fails with a {@link StoreException} unless the segment with this head may be read. */
    void require(Path file, Wire.SegmentHead head) throws StoreException {
        requireVersion(file, head.getVersion());
        FolderOwner found = new FolderOwner(head.getCluster(), head.getMember());
        if (owner.isPresent() && !owner.get().equals(found)) {
            throw StoreException.ofOtherMember(file, found.cluster(), found.member());
        }
    }

    /** Fails with a {@link StoreException} unless the snapshot may be read. It may come from any member of the cluster. */
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
