package pewtercourse;

import static pewtercourse.CommandLine.EXIT_OK;
import static pewtercourse.CommandLine.EXIT_REFUSED;
import static pewtercourse.CommandLine.EXIT_UNREACHABLE;
import static pewtercourse.CommandLine.EXIT_USAGE;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import picocli.CommandLine.Option;

/** Command-line option with the operators' address of a director, and the calls to it. */
final class AdminAddress {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

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
                .timeout(TIMEOUT)
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
        try {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
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
        HttpResponse<String> response = call("POST", path, body);
        boolean succeeded = response.statusCode() / 100 == 2;
        (succeeded ? System.out : System.err).println(response.body().strip());
        return succeeded
                ? EXIT_OK
                : response.statusCode() == 503
                        ? EXIT_UNREACHABLE
                        : response.statusCode() == 400 ? EXIT_USAGE : EXIT_REFUSED;
    }
}
