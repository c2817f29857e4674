package pewtercourse.admin;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;

/**
 * The calls of operators on a director that belongs to a cluster. A string result is the reason of a refusal; null means
 * that the call was carried out.
 */
public interface ClusterCalls {
    /** The state of the cluster as this member knows it. */
    Future<JsonObject> status();

    /** Hands a duty on to a member, or to any if empty. Fails with the reason if the cluster does not agree in time. */
    Future<String> handOn(String duty, String member);

    /** The status of the sites and the plan for the loss of each; null if this director keeps no sites. */
    JsonObject sites();

    /**
     * Runs {@code drill}, {@code hold} or {@code release} for a site. Fails with the reason if the cluster does not agree in
     * time.
     */
    Future<String> site(String call, String name);

    /** Transfers the leadership to a member or, if empty, to the one with the most complete log. */
    String transfer(String member);

    /** Adds a member to the cluster. */
    String add(String name, String address);

    /** Removes a member from the cluster. */
    String remove(String name);
}
