package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.spi.ToolProvider;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * The packages depend on one another as docs/architecture.md says. Read from the compiled classes with the JDK's jdeps, as
 * ArchUnit needs slf4j, which the tests must run without (see the surefire plugin in pom.xml).
 */
class PackageDependenciesTest {
    private static final String ROOT = "pewtercourse";
    private static final Set<String> PURE = Set.of("decision", "raft", "lease", "failover", "zone");
    private static final List<String> IMPURE =
            List.of("io.vertx", "io.netty", "java.net", "java.nio.channels", "java.nio.file", "java.util.concurrent");
    private static final Pattern CODE = Pattern.compile("`([a-z.]+)`");

    /** What each package below the root uses; without generated ones and classes of sources that are gone. */
    private static final Map<String, Set<String>> USED = new TreeMap<>();

    @BeforeAll
    static void readClasses() {
        StringWriter output = new StringWriter();
        ToolProvider jdeps = ToolProvider.findFirst("jdeps").orElseThrow();
        int exitCode = jdeps.run(
                new PrintWriter(output),
                new PrintWriter(output),
                "-verbose:package",
                "-filter:none",
                "--ignore-missing-deps",
                Path.of("target", "classes").toString());
        assertEquals(0, exitCode, output::toString);
        String from = "";
        for (String line : output.toString().split("\n")) {
            String[] words = line.strip().split("\\s+");
            int arrow = List.of(words).indexOf("->");
            if (arrow < 0 || !line.startsWith("   ")) {
                continue;
            }
            from = arrow == 0 ? from : words[0];
            if (below(from) && Files.isDirectory(Path.of("src/main/java", from.split("\\.")))) {
                USED.computeIfAbsent(name(from), p -> new TreeSet<>()).add(words[arrow + 1]);
            }
        }
        assertFalse(USED.isEmpty(), output::toString);
    }

    private static boolean below(String packageName) {
        return packageName.startsWith(ROOT + ".");
    }

    private static String name(String packageName) {
        return packageName.substring(ROOT.length() + 1);
    }

    private static Set<String> usedByName(String packageName) {
        Set<String> names = new TreeSet<>();
        USED.get(packageName).stream().filter(PackageDependenciesTest::below).forEach(used -> names.add(name(used)));
        names.remove(packageName);
        return names;
    }

    /** From the table of packages: the names in its first column to those in its last. */
    private static Map<String, Set<String>> allowed() throws Exception {
        Map<String, Set<String>> allowed = new TreeMap<>();
        String page = Files.readString(Path.of("docs/architecture.md"));
        String section = page.substring(page.indexOf("## Packages"), page.indexOf("## Threads"));
        for (String line : section.split("\n")) {
            String[] cells = line.split("\\|");
            if (cells.length == 4) {
                Set<String> uses = names(cells[3].replaceAll("\\([^)]*\\)", ""));
                names(cells[1]).forEach(packageName -> allowed.put(packageName, uses));
            }
        }
        return allowed;
    }

    private static Set<String> names(String cell) {
        Set<String> names = new TreeSet<>();
        Matcher name = CODE.matcher(cell);
        while (name.find()) {
            names.add(name.group(1));
        }
        return names;
    }

    @Test
    void eachPackageUsesOnlyThoseThatTheArchitectureNames() throws Exception {
        Map<String, Set<String>> allowed = allowed();
        List<String> violations = new ArrayList<>();
        for (String packageName : USED.keySet()) {
            if (!allowed.containsKey(packageName)) {
                violations.add(packageName + " is not in the table of packages");
                continue;
            }
            Set<String> more = usedByName(packageName);
            more.removeAll(allowed.get(packageName));
            if (!more.isEmpty()) {
                violations.add(packageName + " uses " + more);
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void thePureCoresTouchNeitherSocketsNorFilesNorThreads() {
        List<String> violations = new ArrayList<>();
        for (String packageName : PURE) {
            for (String used : USED.get(packageName)) {
                if (IMPURE.stream().anyMatch(impure -> used.equals(impure) || used.startsWith(impure + "."))) {
                    violations.add(packageName + " uses " + used);
                }
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void noTwoPackagesBelowTheRootDependOnEachOther() {
        // Takes away again and again what depends on nothing that is left; what remains is on a circle, or depends on
        // one.
        Map<String, Set<String>> left = new TreeMap<>();
        USED.keySet().forEach(packageName -> left.put(packageName, usedByName(packageName)));
        left.values().forEach(used -> used.retainAll(USED.keySet()));
        boolean changed = true;
        while (changed) {
            Set<String> done = new TreeSet<>();
            left.forEach((packageName, used) -> {
                if (used.isEmpty()) {
                    done.add(packageName);
                }
            });
            left.keySet().removeAll(done);
            left.values().forEach(used -> used.removeAll(done));
            changed = !done.isEmpty();
        }
        assertEquals(Map.of(), left);
    }
}
