package pewtercourse.front;

import java.util.function.Consumer;

/** What stands behind a front: takes requests, and answers each at most once. */
public interface RequestHandler {
    /** Returns what to run when the client stops waiting; from then on no answer may be given. */
    Runnable handle(ClientRequest request, Consumer<Answer> answer);

    /** Whether clients may be told to come. */
    default boolean ready() {
        return true;
    }
}
