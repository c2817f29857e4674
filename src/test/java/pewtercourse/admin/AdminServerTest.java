package pewtercourse.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The operators' address over real sockets. */
class AdminServerTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<String> done = new CopyOnWriteArrayList<>();
    private volatile boolean serves;
    private int port;

    @BeforeEach
    void listen() throws Exception {
        Operations director = new Operations() {
            @Override
            public boolean canServe() {
                return serves;
            }

            @Override
            public String metrics() {
                return "open_requests=14\n";
            }

            @Override
            public Future<Verdict> enterMaintenance(String target) {
                return Future.succeededFuture(
                        target.equals("s-1") && done.add("out " + target) ? Verdict.DONE : Verdict.UNKNOWN);
            }

            @Override
            public Future<Verdict> exitMaintenance(String target) {
                return Future.succeededFuture(
                        target.equals("s-1") && done.add("in " + target) ? Verdict.DONE : Verdict.UNKNOWN);
            }

            @Override
            public Future<Verdict> reload() {
                return Future.succeededFuture(
                        done.add("reload") && serves
                                ? Verdict.DONE
                                : Verdict.refused("feed: 'nowhere' is not ADDRESS:PORT"));
            }

            @Override
            public void standby() {
                done.add("standby");
            }

            @Override
            public void active() {
                done.add("active");
            }
        };
        port = new AdminServer(vertx, director)
                .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                .toCompletionStage()
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS)
                .actualPort();
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Says this and reads until the connection ends: one call to a connection. */
    private String say(String text) throws Exception {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(30_000);
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private int status(String method, String path, String body) throws Exception {
        String answer = say(
                method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        return Integer.parseInt(answer.substring(9, 12));
    }

    @Test
    void eachPathHasItsMethodAndItsAnswer() throws Exception {
        assertEquals(503, status("GET", "/status", ""));
        serves = true;
        assertEquals(200, status("GET", "/status", ""));
        assertEquals(405, status("POST", "/status", ""));
        assertEquals(405, status("GET", "/standby", ""));
        assertEquals(404, status("GET", "/nowhere", ""));
        assertTrue(say("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n").endsWith("\r\n\r\nopen_requests=14\n"));
        assertEquals(200, status("POST", "/standby", ""));
        assertEquals(200, status("POST", "/standby", "{}"));
        assertEquals(200, status("POST", "/active", ""));
        assertEquals(List.of("standby", "standby", "active"), done);
    }

    @Test
    void aReloadTellsTheFaultyKeyOrThatItCounts() throws Exception {
        assertEquals(422, status("POST", "/reload", ""));
        serves = true;
        assertEquals(200, status("POST", "/reload", ""));
        assertEquals(405, status("GET", "/reload", ""));
        assertEquals(List.of("reload", "reload"), done);
    }

    @Test
    void aTargetIsNamedInTheBody() throws Exception {
        assertEquals(200, status("POST", "/maintenance/enter", "{\"target\":\"s-1\"}"));
        assertEquals(200, status("POST", "/maintenance/exit", "{\"target\" : \"s-1\",\"by\":\"me\"}"));
        assertEquals(404, status("POST", "/maintenance/enter", "{\"target\":\"s-2\"}"));
        assertEquals(404, status("POST", "/maintenance/exit", "{\"target\":\"s-2\"}"));
        for (String body : List.of("", "s-1", "[]", "{}", "{\"target\":1}", "{\"target\":\"\"}", "{\"target\":null}")) {
            assertEquals(400, status("POST", "/maintenance/enter", body), body);
        }
        assertEquals(405, status("GET", "/maintenance/enter", ""));
        assertEquals(List.of("out s-1", "in s-1"), done);
    }

    @Test
    void whatIsNoCallIsANoOrAnEnd() throws Exception {
        String nonsense = say("nonsense\r\n\r\n");
        assertTrue(nonsense.startsWith("HTTP/1.0 400"), nonsense);
        assertEquals(413, status("POST", "/standby", "x".repeat(5_000)));
        String longHead = say("GET /status HTTP/1.1\r\nX: " + "x".repeat(9_000) + "\r\n\r\n");
        assertTrue(longHead.isEmpty() || longHead.startsWith("HTTP/1.1 4"), longHead);
        assertEquals(List.of(), done);
    }

    // They would else hold all places, and no operator's call would come through.
    @Test
    void callersThatFinishNoCallKeepNobodyWaiting() throws Exception {
        serves = true;
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * CallTable.MOST; i++) {
            Socket s = new Socket("127.0.0.1", port);
            s.getOutputStream().write("GET /sta".getBytes(StandardCharsets.ISO_8859_1));
            silent.add(s);
        }
        assertEquals(200, status("GET", "/status", ""));
        for (Socket s : silent) {
            s.setSoTimeout(30_000);
            assertEquals(-1, s.getInputStream().read(), "ended, sooner or later");
            s.close();
        }
    }
}
