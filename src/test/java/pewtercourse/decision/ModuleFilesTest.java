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

/** Checks that the source files of the decision module are short and that the deploy file lists all of them. */
class ModuleFilesTest {
    private static final Path MODULE_DIRECTORY = Path.of("src/main/java/pewtercourse/decision");
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final int MAX_LINES = 300;

    @Test
    void everyModuleFileHasAtMost300Lines() throws IOException {
        for (Path file : sourceFiles()) {
            int lines = Files.readAllLines(file).size();
            assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines, more than " + MAX_LINES);
        }
    }

    @Test
    void deployFileListsEveryModuleFileAndNoOther() throws IOException {
        Matcher policyLine = Pattern.compile("(?m)^policy = \\[(.*)]$").matcher(Files.readString(DEPLOY_FILE));
        assertTrue(policyLine.find(), "no line policy = [...] in " + DEPLOY_FILE);
        Set<String> listed = Pattern.compile("\"([^\"]+)\"")
                .matcher(policyLine.group(1))
                .results()
                .map(match -> match.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
        Set<String> present = sourceFiles().stream().map(Path::toString).collect(Collectors.toCollection(TreeSet::new));
        assertEquals(present, listed);
    }

    private static Set<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.list(MODULE_DIRECTORY)) {
            return files.filter(file -> !file.endsWith("package-info.java"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }
}
