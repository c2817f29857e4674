package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pewtercourse.lease.Command;

/**
 * Checks the lease events that all members of a cluster logged: each fencing token has one holder, the tokens that a
 * member logs for a lease increase, and no holder acts after a holder with a later token has acted.
 */
final class LeaseActionLog {
    private static final Pattern ACTION =
            Pattern.compile("^(\\S+) (\\d+) INFO duty\\.act order=(\\w+)\\[.*token=(\\d+)");
    private static final Pattern ASSIGNED =
            Pattern.compile("^(\\S+) \\d+ INFO duty\\.assigned duty=(\\w+) holder=(\\S+) token=(\\d+)");
    // The log contains the simple names of these types, so the check follows a rename.
    static final String GRANT = Command.GrantMaintenance.class.getSimpleName();
    private static final Set<String> ORDERED_ACTIONS = Set.of(GRANT, Command.CancelMaintenance.class.getSimpleName());

    private LeaseActionLog() {}

    /** Checks the log lines of all members; each line starts with the name of its member. */
    static void check(Collection<String> log) {
        List<String> lines = List.copyOf(log);
        Map<Long, String> holders = checkAssignments(lines);
        checkActions(lines, holders);
        assertFalse(
                lines.stream().anyMatch(line -> line.contains("cluster.unexpected")), "an unexpected error is logged");
    }

    /** Checks the logged assignments and returns the holders by token. */
    private static Map<Long, String> checkAssignments(List<String> lines) {
        Map<Long, String> holders = new TreeMap<>();
        Map<String, Long> lastTokens = new HashMap<>(); // The token logged last, by member and lease.
        for (String line : lines) {
            Matcher assigned = ASSIGNED.matcher(line);
            if (line.contains(" INFO cluster.opened ")) {
                String member = line.substring(0, line.indexOf(' ') + 1);
                // After a restart the member may log tokens again.
                lastTokens.keySet().removeIf(key -> key.startsWith(member));
            } else if (assigned.find()) {
                Long token = Long.valueOf(assigned.group(4));
                String previousHolder = holders.putIfAbsent(token, assigned.group(3));
                assertTrue(
                        previousHolder == null || previousHolder.equals(assigned.group(3)),
                        "a token with two holders: " + line);
                Long previousToken = lastTokens.put(assigned.group(1) + ' ' + assigned.group(2), token);
                assertTrue(previousToken == null || previousToken < token, "a token that does not increase: " + line);
            }
        }
        return holders;
    }

    private static void checkActions(List<String> lines, Map<Long, String> holders) {
        List<Matcher> actions = lines.stream()
                .map(ACTION::matcher)
                .filter(Matcher::find)
                .sorted(Comparator.comparingLong(action -> Long.parseLong(action.group(2))))
                .toList();
        long greatestToken = 0;
        for (Matcher action : actions) {
            long token = Long.parseLong(action.group(4));
            assertEquals(
                    action.group(1), holders.get(token), "action with the token of another holder: " + action.group());
            if (ORDERED_ACTIONS.contains(action.group(3))) {
                assertTrue(token >= greatestToken, "action after one with a later token: " + action.group());
                greatestToken = token;
            }
        }
    }
}
