package pewtercourse.front.fastcgi;

/** Input that is not FastCGI, or a request that can't be used. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}
