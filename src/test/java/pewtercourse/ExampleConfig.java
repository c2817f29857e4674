package pewtercourse;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import pewtercourse.config.DirectorConfig;

/** Reads the configuration in {@code examples/}, from which tests derive theirs. */
public final class ExampleConfig {
    private ExampleConfig() {}

    /** Returns a new copy at each call. */
    public static JsonObject json() throws IOException {
        return new JsonObject(Files.readString(Path.of("examples/config.json")));
    }

    public static DirectorConfig read() throws IOException {
        return DirectorConfig.read(Map.of(), json());
    }
}
