package pewtercourse.cache;

import java.io.IOException;

/** A request was not written completely before its {@link WriteCheck} expired, so that its cache does not run it. */
final class WriteExpiredException extends IOException {
    private static final long serialVersionUID = 1L;

    WriteExpiredException() {
        super("the check before the write has expired");
    }
}
