package pewtercourse.discovery;

/** An event of the control feed that can't be read; the cause says what is wrong with it. */
public final class MalformedEventException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedEventException(RuntimeException cause) {
        super(cause.getMessage(), cause);
    }
}
