package pewtercourse.raft.store;

import java.io.IOException;

/** A data folder that can't be used; the message says what to do. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    public StoreException(String message) {
        super(message);
    }
}
