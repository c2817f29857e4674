import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * A toy site for one director: two caches, a parent, the origin and the control feed of config.json. The caches
 * answer every object with a line of text. It is there to be tried by hand, not to measure anything.
 *
 * Start: java examples/ToySite.java
 */
public final class ToySite {
    private ToySite() {}

    public static void main(String[] args) throws IOException {
        for (int port = 9001; port <= 9004; port++) {
            int mine = port;
            listen(port, x -> answer(x, mine));
        }
        listen(2379, ToySite::feed);
        System.out.println("toy site: caches on 9001 and 9002, parent 9003, origin 9004, control feed 2379");
    }

    private interface Handler {
        void handle(HttpExchange x) throws IOException;
    }

    private static void listen(int port, Handler handler) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 16);
        s.setExecutor(Executors.newCachedThreadPool());
        s.createContext("/", handler::handle);
        s.start();
    }

    private static void answer(HttpExchange x, int port) throws IOException {
        x.getRequestBody().readAllBytes();
        String tag = "4be0c1927d55a6f3";
        System.out.println(port + " " + x.getRequestURI() + " from "
                + x.getRequestHeaders().getFirst("X-Fill-From"));
        x.getResponseHeaders().set("ETag", tag);
        x.getResponseHeaders().set("X-Born-Ms", String.valueOf(System.currentTimeMillis()));
        x.getResponseHeaders().set("Outcome", "parent");
        x.getResponseHeaders().set("Load-Report", "inflight:1;x0:0.5");
        if (tag.equals(x.getRequestHeaders().getFirst("If-None-Match"))) {
            x.sendResponseHeaders(304, -1);
        } else {
            byte[] body = ("part of " + x.getRequestURI() + "\n").getBytes(StandardCharsets.UTF_8);
            x.sendResponseHeaders(200, body.length);
            x.getResponseBody().write(body);
        }
        x.close();
    }

    private static void feed(HttpExchange x) throws IOException {
        x.getResponseHeaders().set("Content-Type", "text/event-stream");
        x.sendResponseHeaders(200, 0);
        try (OutputStream out = x.getResponseBody()) {
            while (true) {
                out.write(": here\n\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
                Thread.sleep(1000);
            }
        } catch (IOException | InterruptedException e) {
            // The director has left.
        }
    }
}
