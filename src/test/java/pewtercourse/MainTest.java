package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as the platform runs it: a process that is told things by signals. */
class MainTest {
    // An address of its own, so that no other program takes the port between the look and the use.
    private static final String HOST = "127.83.17.5";

    @TempDir
    Path folder;
    private Process process;
    private BufferedReader log;
    private JsonObject config;
    private Path file;

    @BeforeEach
    void start() throws Exception {
        file = folder.resolve("config.json");
        config = new JsonObject(Files.readString(Path.of("examples/config.json"))).put("feed", HOST + ":1");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            config.put("listen", HOST + ":" + free.getLocalPort());
        }
        Files.writeString(file, config.encode());
        ProcessBuilder b = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "pewtercourse.Main", "serve");
        b.environment().put("GW_CONFIG", file.toString());
        b.environment().remove("GW_LISTEN");
        process = b.redirectErrorStream(true).start();
        log = process.inputReader();
        // A line that never comes must fail the test, not hang it: reading ends with the process.
        CompletableFuture.delayedExecutor(50, TimeUnit.SECONDS).execute(process::destroyForcibly);
        heard("director.listening");
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
    }

    private String heard(String event) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(event)) {
            line = log.readLine();
        }
        assertNotNull(line, "ended without " + event);
        return line;
    }

    private void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor());
    }

    @Test
    void onSighupTheFileIsReadAgainAndOneThatCannotBeUsedChangesNothing() throws Exception {
        Files.writeString(file, config.copy().put("feed", "nowhere").encode());
        signal("HUP");
        assertTrue(heard("config.kept").contains("key=feed:"));
        Files.writeString(file, config.put("feed", HOST + ":2").put("peer_listen", HOST + ":3").encode());
        signal("HUP");
        assertTrue(heard("config.needs_restart").contains("keys=peer_listen"));
        assertTrue(heard("feed.moved").contains(HOST + ":2"));
        heard("config.reloaded");
        assertTrue(process.isAlive());
    }

    @Test
    void onSigtermItEndsByItselfWithZero() throws Exception {
        signal("TERM");
        heard("director.stopped");
        assertEquals(0, process.waitFor());
    }
}
