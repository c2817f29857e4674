package pewtercourse.raft.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;

/**
 * Reports a data folder that can't be used in its present state. The exception has the reason, the file or folder and,
 * for a damaged file, the offset of the damage. Its message also tells an operator what to do.
 */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;
    private static final String EMPTY_THE_FOLDER =
            "empty the folder, so that the member copies the log from the others";

    /** The reason why a data folder can't be used. */
    public enum Reason {
        /** Another process, or another store of this process, has the folder open. */
        IN_USE,
        /** The folder can't be bootstrapped, because it already contains the data of a cluster. */
        ALREADY_BOOTSTRAPPED,
        /** The folder can't be inspected, because it contains no data of a cluster. */
        NO_DATA,
        /** A file is damaged before data that was synced. */
        DAMAGED,
        /** A segment between two others is missing. */
        MISSING_SEGMENT,
        /** Entries are missing between two others, or between the snapshot and the first entry. */
        MISSING_ENTRIES,
        /** Another version of the program has written a file in a format that this version does not read. */
        UNSUPPORTED_VERSION,
        /** A file belongs to another member or another cluster. */
        OTHER_OWNER
    }

    private final Reason reason;
    private final transient Path file;
    private final long offset;

    private StoreException(Reason reason, Path file, long offset, String message) {
        super("'" + file + "' " + message);
        this.reason = reason;
        this.file = file;
        this.offset = offset;
    }

    private StoreException(Reason reason, Path file, String message) {
        this(reason, file, -1, message);
    }

    static StoreException inUse(Path folder) {
        return new StoreException(
                Reason.IN_USE, folder, "is in use by another process: stop that process, or configure another folder");
    }

    static StoreException alreadyBootstrapped(Path folder) {
        return new StoreException(
                Reason.ALREADY_BOOTSTRAPPED, folder, "already contains the data of a cluster: nothing was changed");
    }

    static StoreException noData(Path folder) {
        return new StoreException(Reason.NO_DATA, folder, "contains no data of a cluster");
    }

    static StoreException damaged(Path file, int offset) {
        return new StoreException(
                Reason.DAMAGED,
                file,
                offset,
                "is damaged at byte " + offset + ", before data that was saved: keep a copy, and " + EMPTY_THE_FOLDER);
    }

    static StoreException missingSegment(Path folder, Path segment) {
        return new StoreException(
                Reason.MISSING_SEGMENT,
                folder,
                "lacks segment " + segment.getFileName() + ": restore it, or " + EMPTY_THE_FOLDER);
    }

    static StoreException missingEntries(Path segment, long lastIndex, long nextIndex) {
        return new StoreException(
                Reason.MISSING_ENTRIES,
                segment,
                "has entry " + nextIndex + " after entry " + lastIndex + ", so entries are missing: "
                        + EMPTY_THE_FOLDER);
    }

    static StoreException missingEntriesAfterSnapshot(Path folder, long snapshotIndex, long firstIndex) {
        return new StoreException(
                Reason.MISSING_ENTRIES,
                folder,
                "has entry " + firstIndex + " after snapshot " + snapshotIndex + ", so entries are missing: "
                        + EMPTY_THE_FOLDER);
    }

    static StoreException unsupportedVersion(Path file, int version, int supported) {
        return new StoreException(
                Reason.UNSUPPORTED_VERSION,
                file,
                "has format version " + version + ", but this program reads version " + supported
                        + ": start the program version that wrote it");
    }

    static StoreException ofOtherMember(Path file, String cluster, String member) {
        return new StoreException(
                Reason.OTHER_OWNER,
                file,
                "belongs to member '" + member + "' of cluster '" + cluster + "': configure the folder of this member");
    }

    static StoreException ofOtherCluster(Path file, String cluster) {
        return new StoreException(
                Reason.OTHER_OWNER, file, "belongs to cluster '" + cluster + "': configure the folder of this member");
    }

    /** The reason why the folder can't be used. */
    public Reason reason() {
        return reason;
    }

    /** The unusable file, or the folder if no single file is the cause. */
    public Path file() {
        return file;
    }

    /** The offset of the damage in the file, in bytes; empty if the reason is not damage. */
    public OptionalLong offset() {
        return offset < 0 ? OptionalLong.empty() : OptionalLong.of(offset);
    }
}
