import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Runs a toy site for one director: the two caches, the parent, the origin and the control feed that config.json names.
 * Each cache answers every request with a line of text. Use it for manual trials, not for measurements.
 *
 * <p>Start it with {@code java examples/ToySite.java [ADDRESS]}; the default is the loopback address.
 */
public final class ToySite {
    private static final int FIRST_CACHE_PORT = 9001;
    private static final int LAST_CACHE_PORT = 9004;
    private static final int FEED_PORT = 2379;
    private static final int ACCEPT_BACKLOG = 16;
    private static final long FEED_COMMENT_INTERVAL_MS = 1_000;
    private static final String ENTITY_TAG = "4be0c1927d55a6f3";

    private ToySite() {}

    /** Listens until the process is stopped; the one optional argument is the address. */
    public static void main(String[] args) throws IOException {
        InetAddress address = args.length == 0 ? InetAddress.getLoopbackAddress() : InetAddress.getByName(args[0]);
        for (int port = FIRST_CACHE_PORT; port <= LAST_CACHE_PORT; port++) {
            int cachePort = port;
            listen(address, port, exchange -> answer(exchange, cachePort));
        }
        listen(address, FEED_PORT, ToySite::sendFeed);
        System.out.println("toy site: caches on 9001 and 9002, parent 9003, origin 9004, control feed 2379");
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private static void listen(InetAddress address, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(address, port), ACCEPT_BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", handler::handle);
        server.start();
    }

    private static void answer(HttpExchange exchange, int port) throws IOException {
        exchange.getRequestBody().readAllBytes();
        System.out.println(port + " " + exchange.getRequestURI() + " from "
                + exchange.getRequestHeaders().getFirst("X-Fill-From"));
        exchange.getResponseHeaders().set("ETag", ENTITY_TAG);
        exchange.getResponseHeaders().set("X-Born-Ms", String.valueOf(System.currentTimeMillis()));
        exchange.getResponseHeaders().set("Outcome", "parent");
        exchange.getResponseHeaders().set("Load-Report", "inflight:1;x0:0.5");
        if (ENTITY_TAG.equals(exchange.getRequestHeaders().getFirst("If-None-Match"))) {
            exchange.sendResponseHeaders(304, -1);
        } else {
            byte[] body = ("part of " + exchange.getRequestURI() + "\n").getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    /** Sends only comments, which keep the stream alive: the director keeps the endpoints of its configuration. */
    private static void sendFeed(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream stream = exchange.getResponseBody()) {
            while (true) {
                stream.write(": keep-alive\n\n".getBytes(StandardCharsets.UTF_8));
                stream.flush();
                Thread.sleep(FEED_COMMENT_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            // The director has closed the stream.
        }
    }
}
