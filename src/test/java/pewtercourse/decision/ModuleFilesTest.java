package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The files of the decision module: short, and all of them named in the deploy file. */
class ModuleFilesTest {
    private static final Path MODULE = Path.of("src/main/java/pewtercourse/decision");
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final int MAX_LINES = 300;

    @Test
    void everyFileIsShort() throws IOException {
        for (Path file : files()) {
            int lines = Files.readAllLines(file).size();
            assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines");
        }
    }

    @Test
    void theDeployFileListsEveryFileAndNoOther() throws IOException {
        Matcher policy = Pattern.compile("(?m)^policy = \\[(.*)]$").matcher(Files.readString(DEPLOY_FILE));
        assertTrue(policy.find(), "no policy in " + DEPLOY_FILE);
        Set<String> listed = Pattern.compile("\"([^\"]+)\"")
                .matcher(policy.group(1))
                .results()
                .map(found -> found.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
        Set<String> present = files().stream().map(Path::toString).collect(Collectors.toCollection(TreeSet::new));
        assertEquals(present, listed);
    }

    private static Set<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(MODULE)) {
            return files.filter(file -> !file.endsWith("package-info.java"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }
}
