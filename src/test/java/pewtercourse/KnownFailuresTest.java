package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class KnownFailuresTest {
    private static final Path TESTS = Path.of("src/test/java");

    @Test
    void everyEntryNamesATestAndAnIssue() throws IOException {
        String list = Files.readString(Path.of("KNOWN-RED.txt"));
        for (String name : KnownFailures.listed()) {
            String[] classAndMethod = name.split("\\.");
            assertTrue(isTest(classAndMethod[0], classAndMethod[1]), "no such test: " + name);
            String entry = list.substring(list.indexOf(name)).split("\n(?=\\S)")[0];
            for (String field : List.of("command", "seed", "seen", "issue")) {
                assertTrue(
                        Pattern.compile("(?m)^  " + field + " +\\S")
                                .matcher(entry)
                                .find(),
                        name + " has no " + field);
            }
        }
    }

    private static boolean isTest(String className, String method) throws IOException {
        Pattern declaration =
                Pattern.compile("@(Test|ParameterizedTest|RepeatedTest)\\b[^;{}]*?\\bvoid " + method + "\\(");
        try (Stream<Path> files = Files.walk(TESTS)) {
            for (Path file : files.filter(f -> f.endsWith(className + ".java")).toList()) {
                if (declaration
                        .matcher(Files.readString(file)
                                .replaceAll("(?m)//.*$", "")
                                .replaceAll("\\{[^{}]*}(?=\\))", ""))
                        .find()) {
                    return true;
                }
            }
        }
        return false;
    }
}
