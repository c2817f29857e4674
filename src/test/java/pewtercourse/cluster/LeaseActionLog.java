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
 * Checks what all members of a cluster logged of their leases: no fencing token is held by two, none comes back after a
 * later one, and no holder acts after a later one has.
 */
final class LeaseActionLog {
    private static final Pattern ACTION =
            Pattern.compile("^(\\S+) (\\d+) INFO duty\\.act order=(\\w+)\\[.*token=(\\d+)");
    private static final Pattern ASSIGNED =
            Pattern.compile("^(\\S+) \\d+ INFO duty\\.assigned duty=(\\w+) holder=(\\S+) token=(\\d+)");
    // Named by the types themselves, as the log is: the check has to go with their names.
    static final String GRANT = Command.GrantMaintenance.class.getSimpleName();
    private static final Set<String> ORDERED_ACTIONS = Set.of(GRANT, Command.CancelMaintenance.class.getSimpleName());

    private LeaseActionLog() {}

    /** {@code log}: lines of all members, each after the name of its member. */
    static void check(Collection<String> log) {
        List<String> lines = List.copyOf(log);
        Map<Long, String> holders = checkAssignments(lines);
        checkActions(lines, holders);
        assertFalse(lines.stream().anyMatch(line -> line.contains("cluster.unexpected")), "an error: see the log");
    }

    /** Holders by token. */
    private static Map<Long, String> checkAssignments(List<String> lines) {
        Map<Long, String> holders = new TreeMap<>();
        Map<String, Long> lastTokens = new HashMap<>(); // By member and lease: the token that it logged last.
        for (String line : lines) {
            Matcher assigned = ASSIGNED.matcher(line);
            if (line.contains(" INFO cluster.opened ")) {
                String member = line.substring(0, line.indexOf(' ') + 1);
                lastTokens.keySet().removeIf(key -> key.startsWith(member)); // It may learn again what it knew.
            } else if (assigned.find()) {
                Long token = Long.valueOf(assigned.group(4));
                String other = holders.putIfAbsent(token, assigned.group(3));
                assertTrue(other == null || other.equals(assigned.group(3)), "two hold one token: " + line);
                Long before = lastTokens.put(assigned.group(1) + ' ' + assigned.group(2), token);
                assertTrue(before == null || before < token, "a token that does not grow: " + line);
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
            assertEquals(action.group(1), holders.get(token), "acts with another's token: " + action.group());
            if (ORDERED_ACTIONS.contains(action.group(3))) {
                assertTrue(token >= greatestToken, "acts after a later token: " + action.group());
                greatestToken = token;
            }
        }
    }
}
