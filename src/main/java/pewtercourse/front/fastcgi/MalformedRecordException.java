package pewtercourse.front.fastcgi;

/** Thrown for input that is not FastCGI and for a request with invalid parameters. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}
