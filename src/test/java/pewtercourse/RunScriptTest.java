package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What deploy/run.sh makes of a configuration, with a stand-in for java on an otherwise empty path: no other program
 * can be started. Guards against a platform that refuses them, where the script would go on with its default.
 */
class RunScriptTest {
    @TempDir
    Path folder;

    @BeforeEach
    void standIn() throws Exception {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\nread -r first\necho \"$$ $first $*\"\n");
        java.toFile().setExecutable(true);
    }

    private String run(String config) throws Exception {
        Path file = folder.resolve("config.json");
        Files.deleteIfExists(file);
        if (config != null) {
            Files.writeString(file, config);
        }
        Path input = Files.writeString(folder.resolve("input"), "untouched\n");
        ProcessBuilder b = new ProcessBuilder("/bin/bash", "deploy/run.sh");
        b.environment().put("PATH", folder.toString());
        b.environment().put("GW_CONFIG", file.toString());
        Process p = b.redirectInput(input.toFile()).redirectErrorStream(true).start();
        String out = new String(p.getInputStream().readAllBytes()).strip();
        assertEquals(0, p.waitFor(), out);
        assertEquals(p.pid() + " untouched", out.substring(0, out.indexOf(" -")), "another process, or its input read");
        return out.replaceFirst(".*-Xmx(\\d+)m.*", "$1");
    }

    // Where each call of the system is slow, 35,000 of them were a start that took too long: a crash of all directors.
    @Test
    void aLongFileIsReadInBlocks() throws Exception {
        assertTrue(
                Files.readString(Path.of("deploy/balancer.toml")).contains("run = \"exec bash deploy/run.sh\""),
                "other shells read byte by byte");
        String list = "{\"host\":\"s-00000001\",\"dial\":\"127.0.0.1:9001\"},".repeat(2_000);
        String of100 = run("{\"limits\":{\"memory_mb\":100}}");
        assertEquals(of100, run("{\"known\":[" + list + "{}],\"limits\":{\"memory_mb\":100}}"));
    }

    @Test
    void theLimitIsFoundHoweverTheFileIsLaidOut() throws Exception {
        String of100 = run("{\"limits\":{\"cores\":1,\"memory_mb\":100,\"sockets\":1}}\n");
        String none = run("{}");
        List<String> found = new ArrayList<>(), missed = new ArrayList<>();
        found.add(run("{\n \"limits\" : {\n  \"memory_mb\"\n   :\t100.5\n }\n}"));
        found.add(run("{\"name\":\"memory_mb\",\"limits\":{\"memory_mb\": 100}}"));
        found.add(run("{\"limits\":{\"memory_mb\":100}}")); // No line's end.
        missed.add(run("{\"limits\":{\"memory_mb\":null}}"));
        missed.add(run(""));
        missed.add(run(null));
        assertEquals(List.of(of100, of100, of100), found);
        assertEquals(List.of(none, none, none), missed);
        assertEquals(false, none.equals(of100));
    }
}
