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
 * Runs deploy/run.sh with a stand-in for java on an otherwise empty PATH, so that the script can start no other program.
 * On a platform that refuses other programs, a script that needed one would silently use its default memory limit.
 */
class RunScriptTest {
    @TempDir
    Path folder;

    @BeforeEach
    void createJavaStandIn() throws Exception {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\nread -r first\necho \"$$ $first $*\"\n");
        java.toFile().setExecutable(true);
    }

    private String maxHeapMb(String config) throws Exception {
        Path file = folder.resolve("config.json");
        Files.deleteIfExists(file);
        if (config != null) {
            Files.writeString(file, config);
        }
        Path input = Files.writeString(folder.resolve("input"), "untouched\n");
        ProcessBuilder builder = new ProcessBuilder("/bin/bash", "deploy/run.sh");
        builder.environment().put("PATH", folder.toString());
        builder.environment().put("GW_CONFIG", file.toString());
        Process process =
                builder.redirectInput(input.toFile()).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes()).strip();
        assertEquals(0, process.waitFor(), output);
        assertEquals(
                process.pid() + " untouched",
                output.substring(0, output.indexOf(" -")),
                "java runs in another process, or the script has read its input");
        return output.replaceFirst(".*-Xmx(\\d+)m.*", "$1");
    }

    // Reading byte by byte took 35,000 system calls. Where these are slow, the start took too long and all
    // directors crashed.
    @Test
    void readsALongFileInBlocks() throws Exception {
        assertTrue(
                Files.readString(Path.of("deploy/balancer.toml")).contains("run = \"exec bash deploy/run.sh\""),
                "deploy/balancer.toml must run the script with bash: other shells read byte by byte");
        String list = "{\"host\":\"s-00000001\",\"dial\":\"127.0.0.1:9001\"},".repeat(2_000);
        String heapFor100Mb = maxHeapMb("{\"limits\":{\"memory_mb\":100}}");
        assertEquals(heapFor100Mb, maxHeapMb("{\"known\":[" + list + "{}],\"limits\":{\"memory_mb\":100}}"));
    }

    @Test
    void findsTheMemoryLimitInAnyFileLayout() throws Exception {
        String heapFor100Mb = maxHeapMb("{\"limits\":{\"cores\":1,\"memory_mb\":100,\"sockets\":1}}\n");
        String defaultHeap = maxHeapMb("{}");
        List<String> heapsWithLimit = new ArrayList<>();
        List<String> heapsWithoutLimit = new ArrayList<>();
        heapsWithLimit.add(maxHeapMb("{\n \"limits\" : {\n  \"memory_mb\"\n   :\t100.5\n }\n}"));
        heapsWithLimit.add(maxHeapMb("{\"name\":\"memory_mb\",\"limits\":{\"memory_mb\": 100}}"));
        heapsWithLimit.add(maxHeapMb("{\"limits\":{\"memory_mb\":100}}")); // No end of line.
        heapsWithoutLimit.add(maxHeapMb("{\"limits\":{\"memory_mb\":null}}"));
        heapsWithoutLimit.add(maxHeapMb(""));
        heapsWithoutLimit.add(maxHeapMb(null));
        assertEquals(List.of(heapFor100Mb, heapFor100Mb, heapFor100Mb), heapsWithLimit);
        assertEquals(List.of(defaultHeap, defaultHeap, defaultHeap), heapsWithoutLimit);
        assertEquals(false, defaultHeap.equals(heapFor100Mb));
    }
}
