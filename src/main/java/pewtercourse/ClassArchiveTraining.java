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
import pewtercourse.memory.HeldBytes;

/**
 * Training run for the JVM's class data archive: a director serves one request to itself and exits. The build runs it
 * once. A director that starts with the archive, above all after a crash, is ready in about half the time.
 */
final class ClassArchiveTraining {
    private static final String HOST = "127.0.0.1";

    private ClassArchiveTraining() {}

    static void run(Vertx vertx, String config) throws IOException {
        JsonObject json = new JsonObject(Files.readString(Path.of(config)));
        vertx.getOrCreateContext()
                .runOnContext(v -> startFeedAndCache(vertx)
                        .compose(feedAndCache -> {
                            String address = HOST + ':' + feedAndCache.actualPort();
                            JsonArray hosts = json.getJsonObject("known")
                                    .getJsonArray("events")
                                    .getJsonObject(0)
                                    .getJsonObject("members")
                                    .getJsonArray("hosts");
                            hosts.forEach(host -> ((JsonObject) host).put("dial", address));
                            json.put("feed", address);
                            DirectorConfig directorConfig = DirectorConfig.read(Map.of(), json);
                            HeldBytes held = new HeldBytes(directorConfig.memoryLimits());
                            Director director = new Director(vertx, directorConfig, held);
                            director.start();
                            Warmup warmup = new Warmup(vertx, directorConfig, director);
                            return new FastCgiServer(
                                            vertx,
                                            warmup,
                                            director.clock(),
                                            directorConfig.maxClientConnections(),
                                            held)
                                    .listen(SocketAddress.inetSocketAddress(0, HOST))
                                    .compose(front -> warmup.run(
                                                    SocketAddress.inetSocketAddress(front.actualPort(), HOST), true)
                                            .map(warm -> front));
                        })
                        .compose(front -> FastCgiClient.connect(
                                        vertx, SocketAddress.inetSocketAddress(front.actualPort(), HOST))
                                .compose(client -> client.send(Map.of(
                                        "SCRIPT_NAME",
                                        "/ops/menu-page",
                                        "HTTP_X_CORRELATION_ID",
                                        "9b1f03aa5c7e2d41",
                                        "HTTP_X_SUBJECT",
                                        "7f3a9c21e0b4d655",
                                        "HTTP_X_DEADLINE_MS",
                                        "3000"))))
                        .onComplete(result -> {
                            Log.info(
                                    "rehearsal.ended",
                                    "answer",
                                    result.succeeded()
                                            ? result.result()
                                                    .toString()
                                                    .lines()
                                                    .findFirst()
                                                    .orElse("")
                                            : result.cause());
                            // On another thread, as exit waits for this one.
                            new Thread(() -> System.exit(0)).start();
                        }));
    }

    private static Future<HttpServer> startFeedAndCache(Vertx vertx) {
        return vertx.createHttpServer(new HttpServerOptions().setHost(HOST).setPort(0))
                .requestHandler(ClassArchiveTraining::answer)
                .listen();
    }

    private static void answer(HttpServerRequest request) {
        if (request.path().startsWith("/v1/events")) {
            request.response()
                    .setChunked(true)
                    .write(": here\n\nid: 2\ndata: {\"n\":2,\"purge\":{\"group\":1,\"at\":0}}\n\n");
        } else {
            request.response()
                    .putHeader("ETag", "t")
                    .putHeader("Outcome", "mem")
                    .end(Buffer.buffer("menu"));
        }
    }
}
