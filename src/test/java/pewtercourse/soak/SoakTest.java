package pewtercourse.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

class SoakTest {
    private static final long SEED = 20;
    private static final int SECONDS = 45;

    @TempDir
    Path folder;

    @Test
    @Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void directorsKeepTheirTermsUnderTheFaultsOfAFixedSeed() throws Exception {
        SoakResult result = Soak.playOne(FaultPlan.draw(SEED, SECONDS), System.getProperty("java.class.path"), folder);
        assertTrue(result.counts().getOrDefault("served", 0) > 100, result.report());
        assertTrue(result.passed(), result.report());
    }

    @Test
    void aPlanIsReadAsItWasWritten() {
        FaultPlan plan = FaultPlan.draw(SEED, SECONDS);
        assertEquals(plan, FaultPlan.fromJson(new JsonObject(plan.toJson().encode())));
        assertEquals(plan, FaultPlan.draw(SEED, SECONDS));
    }
}
