package pewtercourse;

import static pewtercourse.CommandLine.DONE;
import static pewtercourse.CommandLine.NO;
import static pewtercourse.CommandLine.UNREACHED;
import static pewtercourse.CommandLine.UNUSABLE;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import picocli.CommandLine.Option;

/** Where a director takes its operators' calls. */
final class AdminAddress {
    private static final Duration WAIT = Duration.ofSeconds(3);

    @Option(
            names = "--admin",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:GW_ADMIN_ADDR}",
            description = "the director's operators' address; else GW_ADMIN_ADDR")
    String address;

    HttpResponse<String> call(String method, String path, JsonObject body) throws IOException {
        if (address == null || address.isEmpty()) {
            throw new IllegalArgumentException("--admin or GW_ADMIN_ADDR is needed");
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(WAIT)
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
        try {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(WAIT)
                    .build()
                    .send(request, HttpResponse.BodyHandlers.ofString());
        } catch (java.net.ConnectException e) {
            throw (IOException) new java.net.ConnectException("nobody answers at " + address).initCause(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("ended");
        }
    }

    int post(String path, JsonObject body) throws IOException {
        HttpResponse<String> r = call("POST", path, body);
        boolean done = r.statusCode() / 100 == 2;
        (done ? System.out : System.err).println(r.body().strip());
        return done ? DONE : r.statusCode() == 503 ? UNREACHED : r.statusCode() == 400 ? UNUSABLE : NO;
    }
}
