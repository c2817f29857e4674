package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnexpectedErrorsTest {
    private final List<Integer> exitCodes = new ArrayList<>();
    private final UnexpectedErrors errors = new UnexpectedErrors(exitCodes::add);

    // Guards against a process that lives on after an Error and has lost answers and timers.
    @Test
    void endsTheProcessAfterAnError() {
        errors.handle(new OutOfMemoryError("thrown by the test"));
        assertEquals(List.of(UnexpectedErrors.EXIT_CODE), exitCodes);
    }

    @Test
    void goesOnAfterAnException() {
        errors.handle(new IllegalStateException("thrown by the test"));
        assertEquals(List.of(), exitCodes);
    }
}
