package pewtercourse.discovery;

/** Thrown for an event of the control feed that can't be decoded; the cause gives the reason. */
public final class MalformedEventException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedEventException(RuntimeException cause) {
        super(cause.getMessage(), cause);
    }
}
