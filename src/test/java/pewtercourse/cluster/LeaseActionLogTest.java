package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseActionLogTest {
    private static final String FIRST_HOLDER = "d0 10 INFO duty.assigned duty=maintenance holder=d0 token=1";
    private static final String SECOND_HOLDER = "d1 20 INFO duty.assigned duty=maintenance holder=d1 token=2";

    private static String grant(String member, int atMs, int token) {
        return member + " " + atMs + " INFO duty.act order=" + LeaseActionLog.GRANT + "[target=s-1, ticket=5, token="
                + token + "]";
    }

    @Test
    void acceptsGrantsOfSuccessiveHolders() {
        LeaseActionLog.check(List.of(FIRST_HOLDER, SECOND_HOLDER, grant("d0", 15, 1), grant("d1", 25, 2)));
    }

    @Test
    void rejectsATokenHeldByTwoMembers() {
        assertRejected(FIRST_HOLDER, "d1 20 INFO duty.assigned duty=maintenance holder=d1 token=1");
    }

    @Test
    void rejectsATokenThatDoesNotIncrease() {
        assertRejected(SECOND_HOLDER, "d1 30 INFO duty.assigned duty=maintenance holder=d0 token=1");
    }

    @Test
    void rejectsAGrantAfterOneWithALaterToken() {
        assertRejected(FIRST_HOLDER, SECOND_HOLDER, grant("d1", 25, 2), grant("d0", 26, 1));
    }

    @Test
    void rejectsAGrantWithTheTokenOfAnotherHolder() {
        assertRejected(FIRST_HOLDER, SECOND_HOLDER, grant("d0", 26, 2));
    }

    private static void assertRejected(String... lines) {
        List<String> log = List.of(lines);
        assertThrows(AssertionError.class, () -> LeaseActionLog.check(log), log.toString());
    }
}
