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
 * Checks that the packages depend on one another only as docs/architecture.md states. The dependencies are read from the
 * compiled classes with the JDK's jdeps, because ArchUnit needs slf4j, without which the tests must run (see the surefire
 * plugin in pom.xml).
 */
class PackageDependenciesTest {
    private static final String ROOT = "pewtercourse";
    private static final Set<String> PURE_PACKAGES = Set.of("decision", "raft", "lease", "failover", "zone");
    private static final List<String> IMPURE_PACKAGES =
            List.of("io.vertx", "io.netty", "java.net", "java.nio.channels", "java.nio.file", "java.util.concurrent");
    private static final Pattern PACKAGE_NAME = Pattern.compile("`([a-z.]+)`");

    /** The packages that each package below the root uses, without generated packages and classes whose source was deleted. */
    private static final Map<String, Set<String>> USED_PACKAGES = new TreeMap<>();

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
        String user = "";
        for (String line : output.toString().split("\n")) {
            String[] words = line.strip().split("\\s+");
            int arrow = List.of(words).indexOf("->");
            if (arrow < 0 || !line.startsWith("   ")) {
                continue;
            }
            user = arrow == 0 ? user : words[0];
            if (isBelowRoot(user) && Files.isDirectory(Path.of("src/main/java", user.split("\\.")))) {
                USED_PACKAGES
                        .computeIfAbsent(nameBelowRoot(user), p -> new TreeSet<>())
                        .add(words[arrow + 1]);
            }
        }
        assertFalse(USED_PACKAGES.isEmpty(), output::toString);
    }

    private static boolean isBelowRoot(String packageName) {
        return packageName.startsWith(ROOT + ".");
    }

    private static String nameBelowRoot(String packageName) {
        return packageName.substring(ROOT.length() + 1);
    }

    private static Set<String> packagesUsedBy(String packageName) {
        Set<String> names = new TreeSet<>();
        USED_PACKAGES.get(packageName).stream()
                .filter(PackageDependenciesTest::isBelowRoot)
                .forEach(used -> names.add(nameBelowRoot(used)));
        names.remove(packageName);
        return names;
    }

    /** Reads the table of packages: maps each package in the first column to the packages in the last column. */
    private static Map<String, Set<String>> allowed() throws Exception {
        Map<String, Set<String>> allowed = new TreeMap<>();
        String page = Files.readString(Path.of("docs/architecture.md"));
        String section = page.substring(page.indexOf("## Packages"), page.indexOf("## Threads"));
        for (String line : section.split("\n")) {
            String[] cells = line.split("\\|");
            if (cells.length == 4) {
                Set<String> uses = packageNames(cells[3].replaceAll("\\([^)]*\\)", ""));
                packageNames(cells[1]).forEach(packageName -> allowed.put(packageName, uses));
            }
        }
        return allowed;
    }

    private static Set<String> packageNames(String cell) {
        Set<String> names = new TreeSet<>();
        Matcher name = PACKAGE_NAME.matcher(cell);
        while (name.find()) {
            names.add(name.group(1));
        }
        return names;
    }

    @Test
    void eachPackageUsesOnlyPackagesListedInTheArchitectureTable() throws Exception {
        Map<String, Set<String>> allowed = allowed();
        List<String> violations = new ArrayList<>();
        for (String packageName : USED_PACKAGES.keySet()) {
            if (!allowed.containsKey(packageName)) {
                violations.add(packageName + " is not in the table of packages");
                continue;
            }
            Set<String> notAllowed = packagesUsedBy(packageName);
            notAllowed.removeAll(allowed.get(packageName));
            if (!notAllowed.isEmpty()) {
                violations.add(packageName + " uses " + notAllowed);
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void purePackagesUseNoSocketsFilesOrThreads() {
        List<String> violations = new ArrayList<>();
        for (String packageName : PURE_PACKAGES) {
            for (String used : USED_PACKAGES.get(packageName)) {
                if (IMPURE_PACKAGES.stream().anyMatch(impure -> used.equals(impure) || used.startsWith(impure + "."))) {
                    violations.add(packageName + " uses " + used);
                }
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void packagesBelowTheRootHaveNoCyclicDependencies() {
        // Repeatedly removes the packages that use none of the remaining ones. The packages left at the end are part of
        // a cycle or depend on one.
        Map<String, Set<String>> remaining = new TreeMap<>();
        USED_PACKAGES.keySet().forEach(packageName -> remaining.put(packageName, packagesUsedBy(packageName)));
        remaining.values().forEach(used -> used.retainAll(USED_PACKAGES.keySet()));
        boolean changed = true;
        while (changed) {
            Set<String> independent = new TreeSet<>();
            remaining.forEach((packageName, used) -> {
                if (used.isEmpty()) {
                    independent.add(packageName);
                }
            });
            remaining.keySet().removeAll(independent);
            remaining.values().forEach(used -> used.removeAll(independent));
            changed = !independent.isEmpty();
        }
        assertEquals(Map.of(), remaining);
    }
}
