package pewtercourse.emulator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The settings of directors that serve emulated caches.
 *
 * @param warmUpMs time until a cache that has started is warm, in milliseconds
 * @param collapseWindowMs time over which the load of a cold cache is measured, in milliseconds
 */
public record EmulatedSettings(double warmUpMs, double collapseWindowMs) {
    /**
     * Returns the settings of one director.
     *
     * @param me index of the director among all
     * @param directors number of directors
     * @param zones names of the zones, the hub first
     * @param directorsByZone number of directors in each zone
     */
    public JsonObject of(int me, int directors, String zone, JsonArray zones, JsonArray directorsByZone) {
        JsonArray classes = new JsonArray();
        for (Catalogue.RequestClass requestClass : Catalogue.CLASSES) {
            classes.add(new JsonObject()
                    .put("Name", requestClass.name())
                    .put("Effect", requestClass.uncacheable() ? "side_effect" : "pure")
                    .put("Aim", requestClass.targetMs())
                    .put("AimStretch", requestClass.stretch())
                    .put("Deadline", requestClass.deadlineMs())
                    .put("Worth", requestClass.worth()));
        }
        return new JsonObject()
                .put("Me", me)
                .put("Instances", directors)
                .put("Zone", zone)
                .put("Zones", zones)
                .put("Skus", new JsonArray().add("box").add("parent").add("origin"))
                .put("Discovery", "push")
                .put("Weights", "silent")
                .put("Classes", classes)
                .put(
                        "Domain",
                        new JsonObject()
                                .put("CanJoin", true)
                                .put("ClientKbPerS", Catalogue.KB_PER_MS * 1_000)
                                .put(
                                        "GoesThrough",
                                        new JsonArray().add(false).add(false).add(true))
                                .put(
                                        "GoodFor",
                                        new JsonArray().add(0.0).add(8_000.0).add(0.0))
                                .put(
                                        "ClassGrace",
                                        new JsonArray().add(0.0).add(20_000.0).add(0.0))
                                .put(
                                        "InParts",
                                        new JsonArray().add(false).add(false).add(false))
                                .put("MasterKind", 2)
                                .put("MidKind", 1)
                                .put("MayPassBy", false)
                                .put("ParentColdFrom", 0.065)
                                .put("ParentLimitFactor", 2.0)
                                .put("ParentWarmsIn", 21_000.0)
                                .put("PurgeTakes", 6_000.0)
                                .put("Says", "hit")
                                .put("SeatsByZone", directorsByZone)
                                .put("Siblings", "location"))
                .put(
                        "Permissions",
                        new JsonObject()
                                .put("Cancel", true)
                                .put("ConnectTimeout", 400.0)
                                .put("IdleClose", 15_000.0)
                                .put("MaxRetryAfter", 500.0)
                                .put("MayTell", false)
                                .put("ParallelTries", false)
                                .put("RetryAfter", true)
                                .put("TryLimit", 6))
                .put(
                        "Rules",
                        new JsonObject()
                                .put("AnswerSlack", 8.0)
                                .put("ColdFrom", 0.23)
                                .put("DrainGrace", 500.0)
                                .put("FallMultiple", 2.0)
                                .put("TipAfter", collapseWindowMs)
                                .put("WarmUp", warmUpMs));
    }
}
