package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.front.fastcgi.FastCgiClient;
import pewtercourse.front.fastcgi.FastCgiServer;

/**
 * Serves one request to itself and ends. The build runs it once, so that the JVM can archive the classes that a
 * director needs: one that starts, above all after a crash, is then ready in about half the time.
 */
final class ClassArchiveTraining {
    private static final String HOST = "127.0.0.1";

    private ClassArchiveTraining() {}

    static void run(Vertx vertx, String config) throws IOException {
        JsonObject json = new JsonObject(Files.readString(Path.of(config)));
        vertx.getOrCreateContext()
                .runOnContext(v -> site(vertx)
                        .compose(s -> {
                            String address = HOST + ':' + s.actualPort();
                            JsonArray hosts = json.getJsonObject("known")
                                    .getJsonArray("events")
                                    .getJsonObject(0)
                                    .getJsonObject("members")
                                    .getJsonArray("hosts");
                            hosts.forEach(h -> ((JsonObject) h).put("dial", address));
                            json.put("feed", address);
                            DirectorConfig read = DirectorConfig.read(Map.of(), json);
                            Director director = new Director(vertx, read);
                            director.start();
                            Warmup warmup = new Warmup(vertx, read, director);
                            return new FastCgiServer(vertx, warmup, director.clock(), read.front())
                                    .listen(SocketAddress.inetSocketAddress(0, HOST))
                                    .compose(front -> warmup.run(
                                                    SocketAddress.inetSocketAddress(front.actualPort(), HOST), true)
                                            .map(done -> front));
                        })
                        .compose(front -> FastCgiClient.connect(
                                        vertx, SocketAddress.inetSocketAddress(front.actualPort(), HOST))
                                .compose(c -> c.ask(Map.of(
                                        "SCRIPT_NAME",
                                        "/ops/menu-page",
                                        "HTTP_X_CORRELATION_ID",
                                        "9b1f03aa5c7e2d41",
                                        "HTTP_X_SUBJECT",
                                        "7f3a9c21e0b4d655",
                                        "HTTP_X_DEADLINE_MS",
                                        "3000"))))
                        .onComplete(done -> {
                            Log.info(
                                    "rehearsal.ended",
                                    "answer",
                                    done.succeeded()
                                            ? done.result()
                                                    .toString()
                                                    .lines()
                                                    .findFirst()
                                                    .orElse("")
                                            : done.cause());
                            // From another thread, as exit waits for this one.
                            new Thread(() -> System.exit(0)).start();
                        }));
    }

    private static Future<HttpServer> site(Vertx vertx) {
        return vertx.createHttpServer(new HttpServerOptions().setHost(HOST).setPort(0))
                .requestHandler(ClassArchiveTraining::play)
                .listen();
    }

    private static void play(HttpServerRequest r) {
        if (r.path().startsWith("/v1/events")) {
            r.response()
                    .setChunked(true)
                    .write(": here\n\nid: 2\ndata: {\"n\":2,\"purge\":{\"group\":1,\"at\":0}}\n\n");
        } else {
            r.response().putHeader("ETag", "t").putHeader("Outcome", "mem").end(Buffer.buffer("menu"));
        }
    }
}
