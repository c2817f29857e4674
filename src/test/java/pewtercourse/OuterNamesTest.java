package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.CacheStatus;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteStatus;
import pewtercourse.front.Answer;
import pewtercourse.lease.RejectionReason;
import pewtercourse.raft.Raft;

/**
 * Guards against a rename in the code that also changes an interface: a key, path, field, event, flag, variable, metric or
 * file name that other programs, operators or stored data use.
 */
class OuterNamesTest {
    private static final Path ROOT = Path.of("");
    private static final Path LIST = Path.of("config/outer-names.txt");
    private static final int MIN_PROGRAM_NAMES = 700;
    private static final int MIN_DEPLOY_NAMES = 8;

    /** In files with these endings all text is searched; in Java files only the string literals are. */
    private static final List<String> TEXT_ENDINGS = List.of(".proto", ".json", ".toml", ".sh", ".properties");

    /** Names after this line of the list occur in the deploy files and examples, all others in the program itself. */
    private static final String DEPLOY_SECTION = "# Deploy file and example settings";

    private static final List<String> PROGRAM_FOLDERS = List.of("src/main");
    private static final List<String> DEPLOY_FOLDERS = List.of("deploy", "examples");

    private static final Pattern JAVA_STRING =
            Pattern.compile("\"\"\"(.*?)\"\"\"|\"((?:\\\\.|[^\"\\\\\n])*)\"", Pattern.DOTALL);
    private static final Pattern LINE_COMMENT = Pattern.compile("(?m)//[^\n\"]*$");
    private static final Pattern BLOCK_COMMENT = Pattern.compile("(?s)/\\*.*?\\*/");

    @TempDir
    Path scratch;

    @Test
    void everyListedNameOccursInTheSource() throws IOException {
        assertTrue(programNames().size() >= MIN_PROGRAM_NAMES, "too few names of the program in " + LIST);
        assertTrue(deployNames().size() >= MIN_DEPLOY_NAMES, "too few names of the deploy files in " + LIST);
        assertEquals(List.of(), missingNames(programNames(), ROOT, PROGRAM_FOLDERS));
        assertEquals(List.of(), missingNames(deployNames(), ROOT, DEPLOY_FOLDERS));
    }

    @Test
    void reportsANameThatIsReplacedInTheSource() throws IOException {
        int changedFiles = copyProgramWithout("born_ms");

        assertTrue(changedFiles >= 1, "no source file contains born_ms");
        assertEquals(List.of("born_ms"), missingNames(programNames(), scratch, PROGRAM_FOLDERS));
    }

    @Test
    void ignoresNamesInCommentsAndInLongerWords() throws IOException {
        Path folder = Files.createDirectories(scratch.resolve("src/main"));
        String source = "/** \"lag\" */ class Sample { String text = \"x_lag_ms lagging\"; } // lag\n";
        Files.writeString(folder.resolve("Sample.java"), source);

        assertEquals(List.of("lag"), missingNames(List.of("lag", "x_lag_ms"), scratch, PROGRAM_FOLDERS));
    }

    @Test
    void enumConstantsThatAreWrittenOutKeepTheirNamesAndOrder() {
        assertEquals("WHOLE IMPAIRED LOST RETURNING", constants(SiteStatus.Phase.values()));
        assertEquals("WELL SLOW PARTLY PARENTS DIRECTORS CACHES ALL", constants(SiteHealth.values()));
        assertEquals(
                "UNKNOWN HIT FILLED FILLED_FROM_ORIGIN COALESCED STALE SOURCE_REJECTED SOURCE_FAILED SOURCE_MISS"
                        + " FILL_LIMIT_REACHED ORIGIN_FAILED",
                constants(CacheStatus.values()));
        assertEquals(
                "OK ERROR OVERLOADED TIMEOUT CONNECT_FAILED RESET CANCELLED SUPERSEDED MISS",
                constants(AttemptOutcome.values()));
        assertEquals("SERVED SAME REFUSED FAILED", constants(Answer.Kind.values()));
        assertEquals("FOLLOWER PRE_CANDIDATE CANDIDATE LEADER", constants(Raft.Role.values()));
        assertEquals(
                "NOT_LEADER TRANSFERRING BUSY MEMBERSHIP_CHANGE_PENDING INELIGIBLE_MEMBER",
                constants(Raft.Rejection.values()));
        assertEquals(
                "STALE_FENCING_TOKEN SUPERSEDED LEASE_CHANGED ALREADY_RENEWED MEMBER_STATUS_UNCHANGED MEMBER_LIMIT_REACHED DRAIN_LIMIT_REACHED MAINTENANCE_REQUEST_LIMIT_REACHED MAINTENANCE_REQUEST_CANCELLED MAINTENANCE_REQUEST_NOT_FOUND CANCELLATION_NOT_PERMITTED QUOTA_REQUEST_LIMIT_REACHED QUOTA_REQUEST_NOT_FOUND QUOTA_LIMIT_REACHED QUOTA_ALREADY_RELEASED SITE_STATUS_CHANGED LEASE_NOT_HELD NOT_A_MEMBER",
                constants(RejectionReason.values()));
    }

    private static String constants(Enum<?>[] values) {
        return Arrays.stream(values).map(Enum::name).collect(Collectors.joining(" "));
    }

    private static List<String> programNames() throws IOException {
        List<String> lines = Files.readAllLines(LIST);
        return names(lines.subList(0, lines.indexOf(DEPLOY_SECTION)));
    }

    private static List<String> deployNames() throws IOException {
        List<String> lines = Files.readAllLines(LIST);
        return names(lines.subList(lines.indexOf(DEPLOY_SECTION), lines.size()));
    }

    private static List<String> names(List<String> lines) {
        return lines.stream()
                .map(line -> line.split("#", 2)[0].strip())
                .filter(name -> !name.isEmpty())
                .toList();
    }

    /** The names that occur as a whole word neither in a string of a Java file nor in another source file. */
    private static List<String> missingNames(List<String> names, Path root, List<String> folders) throws IOException {
        String text = outerText(root, folders);
        List<String> missing = new ArrayList<>();
        for (String name : names) {
            Pattern word = Pattern.compile("(?<![A-Za-z0-9_])" + Pattern.quote(name) + "(?![A-Za-z0-9_])");
            if (!word.matcher(text).find()) {
                missing.add(name);
            }
        }
        return missing;
    }

    private static String outerText(Path root, List<String> folders) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Path file : sourceFiles(root, folders)) {
            String content = Files.readString(file);
            if (file.toString().endsWith(".java")) {
                appendStrings(text, content);
            } else {
                text.append(content).append('\n');
            }
        }
        return text.toString();
    }

    private static void appendStrings(StringBuilder text, String javaSource) {
        String withoutBlocks = BLOCK_COMMENT.matcher(javaSource).replaceAll("");
        Matcher strings =
                JAVA_STRING.matcher(LINE_COMMENT.matcher(withoutBlocks).replaceAll(""));
        while (strings.find()) {
            text.append(strings.group(1) == null ? strings.group(2) : strings.group(1));
            text.append('\n');
        }
    }

    private static List<Path> sourceFiles(Path root, List<String> folders) throws IOException {
        List<Path> sources = new ArrayList<>();
        for (String folder : folders) {
            try (Stream<Path> files = Files.walk(root.resolve(folder))) {
                files.filter(OuterNamesTest::isSource).sorted().forEach(sources::add);
            }
        }
        return sources;
    }

    private static boolean isSource(Path file) {
        String name = file.toString();
        return name.endsWith(".java") || TEXT_ENDINGS.stream().anyMatch(name::endsWith);
    }

    /** Copies the program's sources to the scratch folder with the name replaced; returns how many files contain it. */
    private int copyProgramWithout(String name) throws IOException {
        int filesWithName = 0;
        for (Path source : sourceFiles(ROOT, PROGRAM_FOLDERS)) {
            Path copy = scratch.resolve(source.toString());
            Files.createDirectories(copy.getParent());
            String content = Files.readString(source);
            Files.writeString(copy, content.replace(name, "replaced_name"));
            filesWithName += content.contains(name) ? 1 : 0;
        }
        return filesWithName;
    }
}
