package pewtercourse.admin;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;

/** What operators may ask of a director that belongs to a cluster. Texts are reasons why not; null is done. */
public interface ClusterCalls {
    Future<JsonObject> status();

    /** Fails with the reason when it is not agreed in time. */
    Future<String> handOn(String duty, String to);

    /** How the sites stand and what happens if one is lost; null where sites are not kept. */
    JsonObject sites();

    /** {@code drill}, {@code hold} or {@code release} of a site. Fails with the reason when it is not agreed in time. */
    Future<String> site(String call, String name);

    String transfer(String to);

    String add(String name, String address);

    String remove(String name);
}
