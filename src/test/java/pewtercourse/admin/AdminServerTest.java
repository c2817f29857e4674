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

/** Tests the operators' HTTP interface over real sockets. */
class AdminServerTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<String> operations = new CopyOnWriteArrayList<>();
    private volatile boolean canServe;
    private int port;

    @BeforeEach
    void listen() throws Exception {
        Operations director = new Operations() {
            @Override
            public boolean canServe() {
                return canServe;
            }

            @Override
            public String metrics() {
                return "open_requests=14\n";
            }

            @Override
            public Future<Verdict> enterMaintenance(String target) {
                return Future.succeededFuture(
                        target.equals("s-1") && operations.add("out " + target) ? Verdict.DONE : Verdict.UNKNOWN);
            }

            @Override
            public Future<Verdict> exitMaintenance(String target) {
                return Future.succeededFuture(
                        target.equals("s-1") && operations.add("in " + target) ? Verdict.DONE : Verdict.UNKNOWN);
            }

            @Override
            public Future<Verdict> reload() {
                return Future.succeededFuture(
                        operations.add("reload") && canServe
                                ? Verdict.DONE
                                : Verdict.refused("feed: 'nowhere' is not ADDRESS:PORT"));
            }

            @Override
            public void standby() {
                operations.add("standby");
            }

            @Override
            public void active() {
                operations.add("active");
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

    /** Sends the text on a new connection, and reads until the connection is closed. */
    private String send(String text) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private int callForStatus(String method, String path, String body) throws Exception {
        String answer = send(
                method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        return Integer.parseInt(answer.substring(9, 12));
    }

    @Test
    void answersEachPathWithItsMethodOnly() throws Exception {
        assertEquals(503, callForStatus("GET", "/status", ""));
        canServe = true;
        assertEquals(200, callForStatus("GET", "/status", ""));
        assertEquals(405, callForStatus("POST", "/status", ""));
        assertEquals(405, callForStatus("GET", "/standby", ""));
        assertEquals(404, callForStatus("GET", "/nowhere", ""));
        assertTrue(send("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n").endsWith("\r\n\r\nopen_requests=14\n"));
        assertEquals(200, callForStatus("POST", "/standby", ""));
        assertEquals(200, callForStatus("POST", "/standby", "{}"));
        assertEquals(200, callForStatus("POST", "/active", ""));
        assertEquals(List.of("standby", "standby", "active"), operations);
    }

    @Test
    void refusesAReloadOfAnInvalidConfigurationAndConfirmsAValidOne() throws Exception {
        assertEquals(422, callForStatus("POST", "/reload", ""));
        canServe = true;
        assertEquals(200, callForStatus("POST", "/reload", ""));
        assertEquals(405, callForStatus("GET", "/reload", ""));
        assertEquals(List.of("reload", "reload"), operations);
    }

    @Test
    void readsTheTargetOfMaintenanceCallsFromTheBody() throws Exception {
        assertEquals(200, callForStatus("POST", "/maintenance/enter", "{\"target\":\"s-1\"}"));
        assertEquals(200, callForStatus("POST", "/maintenance/exit", "{\"target\" : \"s-1\",\"by\":\"me\"}"));
        assertEquals(404, callForStatus("POST", "/maintenance/enter", "{\"target\":\"s-2\"}"));
        assertEquals(404, callForStatus("POST", "/maintenance/exit", "{\"target\":\"s-2\"}"));
        for (String body : List.of("", "s-1", "[]", "{}", "{\"target\":1}", "{\"target\":\"\"}", "{\"target\":null}")) {
            assertEquals(400, callForStatus("POST", "/maintenance/enter", body), body);
        }
        assertEquals(405, callForStatus("GET", "/maintenance/enter", ""));
        assertEquals(List.of("out s-1", "in s-1"), operations);
    }

    @Test
    void refusesMalformedAndOversizedCalls() throws Exception {
        String nonsense = send("nonsense\r\n\r\n");
        assertTrue(nonsense.startsWith("HTTP/1.0 400"), nonsense);
        assertEquals(413, callForStatus("POST", "/standby", "x".repeat(5_000)));
        String longHead = send("GET /status HTTP/1.1\r\nX: " + "x".repeat(9_000) + "\r\n\r\n");
        assertTrue(longHead.isEmpty() || longHead.startsWith("HTTP/1.1 4"), longHead);
        assertEquals(List.of(), operations);
    }

    // Callers that never finish a call could otherwise occupy the whole table and block the operators' calls.
    @Test
    void closesSilentConnectionsSoThatOtherCallsAreServed() throws Exception {
        canServe = true;
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * CallTable.MAX_CONNECTIONS; i++) {
            Socket socket = new Socket("127.0.0.1", port);
            socket.getOutputStream().write("GET /sta".getBytes(StandardCharsets.ISO_8859_1));
            silent.add(socket);
        }
        assertEquals(200, callForStatus("GET", "/status", ""));
        for (Socket socket : silent) {
            socket.setSoTimeout(30_000);
            assertEquals(-1, socket.getInputStream().read(), "the silent connection is closed");
            socket.close();
        }
    }
}
